/** Reduces the changes of one answer of the store to those that still matter. */
import {assertNever} from '../../utils/common.js';
import {type RegistryChange} from './registry.js';

/** Returns what a change is about, to find the last change of each. */
function getSubject(change: RegistryChange): string {
	switch (change.type) {
		case 'evacuated':
		case 'evacuation-ended': {
			return `evacuation ${change.domain}`;
		}

		case 'removed': {
			return `upstream ${change.id}`;
		}

		case 'written': {
			return `upstream ${change.upstream.id}`;
		}

		default: {
			return assertNever(change);
		}
	}
}

/**
 * @param changes - Changes in the order of their revisions.
 * @returns The last change of each upstream and failure domain.
 */
export function findLastChanges(changes: readonly RegistryChange[]): readonly RegistryChange[] {
	return [...new Map(changes.map(change => [getSubject(change), change])).values()];
}
