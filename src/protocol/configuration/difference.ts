/** Compares two configuration documents. */
import {type Configuration, type Takeover} from '../../core/index.js';
import {type Change, type EntryKind, type FieldValue} from './changes.js';

type Named = {readonly id: string};

/**
 * Compares entries by id, regardless of their order, except that the first token key is the one that signs.
 *
 * @param before - Previous document.
 * @param after - Next document.
 * @returns The changes; empty if the documents are equivalent.
 */
export function compareConfigurations(before: Configuration, after: Configuration): readonly Change[] {
	return [
		...findDocumentChanges(before, after),
		...findEntryChanges('failure domain', before.failureDomains, after.failureDomains),
		...findEntryChanges('service', before.services, after.services),
		...findEntryChanges('organisation', before.organisations, after.organisations),
		...findEntryChanges('upstream', before.upstreams, after.upstreams),
		...findEntryChanges('planned stop', before.plannedStops, after.plannedStops),
		...findTakeoverChanges(before.takeovers, after.takeovers),
		...findTokenKeyChanges(before, after),
	];
}

function findDocumentChanges(before: Configuration, after: Configuration): readonly Change[] {
	const flattenOwnFields = ({schema, revision, stopRule, weightStore}: Configuration) => flattenFields({
		schema, revision, stopRule, weightStore,
	});
	return pairByKey(flattenOwnFields(before), flattenOwnFields(after)).flatMap(([field, old, next]) => isList(old) || isList(next) || old === next
		? []
		: [{
			type: 'document-changed', field, before: old, after: next,
		}]);
}

function findEntryChanges(entry: EntryKind, before: readonly Named[], after: readonly Named[]): readonly Change[] {
	return pairByKey(indexById(before), indexById(after)).flatMap(([id, old, next]) => {
		if (old === undefined) {
			return [{type: 'added', entry, id}];
		}

		return next === undefined ? [{type: 'removed', entry, id}] : findFieldChanges(entry, id, old, next);
	});
}

function findFieldChanges(entry: EntryKind, id: string, before: Named, after: Named): readonly Change[] {
	return pairByKey(flattenFields(before), flattenFields(after))
		.filter(([, old, next]) => !isEqual(old, next))
		.map(([field, old, next]) => {
			if (field === 'secret') {
				return {type: 'secret-changed', id};
			}

			return isList(old) || isList(next)
				? {
					type: 'list-changed', entry, id, field, ...compareLists(old, next),
				}
				: {
					type: 'field-changed', entry, id, field, before: old, after: next,
				};
		});
}

function compareLists(old: Field | undefined, next: Field | undefined) {
	const oldItems = toItemSet(old);
	const nextItems = toItemSet(next);
	return {
		added: [...nextItems].filter(each => !oldItems.has(each)),
		removed: [...oldItems].filter(each => !nextItems.has(each)),
	};
}

function findTakeoverChanges(before: readonly Takeover[], after: readonly Takeover[]): readonly Change[] {
	const indexByScope = (takeovers: readonly Takeover[]) => new Map(takeovers.map(takeover => {
		const {servedBy, ...scope} = takeover;
		const key = JSON.stringify([scope.service, scope.failureDomain, scope.organisation]);
		return [key, {scope, servedBy}];
	}));
	return pairByKey(indexByScope(before), indexByScope(after))
		.filter(([, old, next]) => old?.servedBy !== next?.servedBy)
		.map(([, old, next]) => ({
			type: 'takeover-changed', scope: (next ?? old)!.scope, before: old?.servedBy, after: next?.servedBy,
		}));
}

function findTokenKeyChanges(before: Configuration, after: Configuration): readonly Change[] {
	const changes = findEntryChanges('token key', before.tokenKeys, after.tokenKeys);
	const old = before.tokenKeys[0]!.id;
	const next = after.tokenKeys[0]!.id;
	return old === next ? changes : [...changes, {type: 'signing-key-changed', before: old, after: next}];
}

type Field = FieldValue | readonly string[];

function isList(field: Field | undefined): field is readonly string[] {
	return Array.isArray(field);
}

function toItemSet(field: Field | undefined): ReadonlySet<string> {
	return new Set(isList(field) ? field : []);
}

/** Treats an absent list as an empty one. */
function isEqual(first: Field | undefined, second: Field | undefined): boolean {
	if (!isList(first) && !isList(second)) {
		return first === second;
	}

	const {added, removed} = compareLists(first, second);
	return added.length === 0 && removed.length === 0;
}

/** Returns each leaf by its path within the entry. Lists are leaves too, since the lists of an entry contain only strings. */
function flattenFields(value: unknown, path = '', fields = new Map<string, Field>()): ReadonlyMap<string, Field> {
	if (isField(value)) {
		fields.set(path, value);
	} else if (typeof value === 'object' && value !== null) {
		for (const [key, child] of Object.entries(value)) {
			flattenFields(child, path === '' ? key : `${path}.${key}`, fields);
		}
	}

	return fields;
}

function isField(value: unknown): value is Field {
	return Array.isArray(value) || ['string', 'number', 'boolean'].includes(typeof value);
}

function indexById(entries: readonly Named[]): ReadonlyMap<string, Named> {
	return new Map(entries.map(entry => [entry.id, entry]));
}

/** Returns the values of both maps for each key; the keys of `before` come first. */
function pairByKey<Content>(
	before: ReadonlyMap<string, Content>,
	after: ReadonlyMap<string, Content>,
): ReadonlyArray<readonly [key: string, before: Content | undefined, after: Content | undefined]> {
	const keys = new Set([...before.keys(), ...after.keys()]);
	return [...keys].map(key => [key, before.get(key), after.get(key)]);
}
