/**
 * Partitions the hosts of a large failure domain, and all engines, into groups. A host receives the short jobs at the engines of its group
 * only: if each host received all, the traffic of a relay would grow with the square of the fleet's size.
 */
import {hashText, mixHashes} from '../../utils/hashes.js';

/** Largest group, and the size up to which a failure domain has only one: relays have carried the load updates of such domains without delay. */
export const maxGroupHosts = 48;

/** Most groups that a host may announce; 3,072 hosts in one failure domain. */
const maxGroups = 64;

const hostHashKey = hashText('host groups');
const engineHashKey = hashText('engine groups');

/** One group of a partition. */
export type HostGroup = {
	readonly index: number;
	readonly count: number;
};

/**
 * @param hosts - Number of hosts of a failure domain.
 * @returns Number of its groups; 1 if it is small enough for every host to receive everything.
 */
export function computeGroupCount(hosts: number): number {
	return Math.min(Math.max(Math.ceil(hosts / maxGroupHosts), 1), maxGroups);
}

/**
 * @param value - Number of groups as announced by a peer.
 * @returns The number; 1, so that the peer receives everything, if there is none or it can't be right.
 */
export function parseGroupCount(value: unknown): number {
	return typeof value === 'number' && Number.isInteger(value) && value > 1 && value <= maxGroups ? value : 1;
}

/**
 * @param name - Name of a host.
 * @param count - Number of groups.
 * @returns The host's group; undefined if there is only one.
 */
export function findHostGroup(name: string, count: number): HostGroup | undefined {
	return count > 1 ? {index: mixHashes(hostHashKey, hashText(name)) % count, count} : undefined;
}

/**
 * @param engine - Id of an engine of any failure domain.
 * @param group - Group.
 * @returns Whether the engine belongs to the group.
 */
export function isEngineOf(engine: string, {index, count}: HostGroup): boolean {
	return mixHashes(engineHashKey, hashText(engine)) % count === index;
}

/**
 * @param a - A group, or undefined for hosts that receive everything.
 * @param b - Another one.
 * @returns Whether they are the same.
 */
export function isSameGroup(a: HostGroup | undefined, b: HostGroup | undefined): boolean {
	return a?.index === b?.index && a?.count === b?.count;
}
