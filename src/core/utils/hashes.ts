/** Hashes that are the same on every host, and rendezvous hashing with them. Not cryptographic. */
/* eslint-disable no-bitwise -- Hashes are made of bit operations. */

const offsetBasis = 0x81_1C_9D_C5;
const prime = 0x01_00_01_93;

/**
 * @param text - Any text.
 * @returns A 32-bit FNV-1a hash of its UTF-16 units.
 */
export function hashText(text: string): number {
	let hash = offsetBasis;
	for (let index = 0; index < text.length; index++) {
		// Hashes UTF-16 units, surrogates included: any fixed rule will do.
		// eslint-disable-next-line unicorn/prefer-code-point
		hash = Math.imul(hash ^ text.charCodeAt(index), prime);
	}

	return hash >>> 0;
}

/**
 * @param a - A hash.
 * @param b - Another hash.
 * @returns A hash of both in which every bit depends on every bit.
 */
export function mixHashes(a: number, b: number): number {
	let hash = (a ^ Math.imul(b, 0x9E_37_79_B1)) >>> 0;
	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Ranks members for a key by rendezvous hashing. Adding or removing a member does not change the order of the others.
 *
 * @param key - Hash of what is placed.
 * @param members - Members with their hashes.
 * @returns The members, the first choice first.
 */
export function rank<T extends {readonly hash: number}>(key: number, members: readonly T[]): readonly T[] {
	return members.toSorted((a, b) => mixHashes(key, b.hash) - mixHashes(key, a.hash));
}

/**
 * Returns the first members of {@link rank} without sorting all of them.
 *
 * @param key - Hash of what is placed.
 * @param members - Members with their hashes.
 * @param limit - Number of members at most.
 * @returns The members, the first choice first.
 */
export function selectTopRanked<T extends {readonly hash: number}>(key: number, members: readonly T[], limit: number): readonly T[] {
	const chosen: Array<{readonly member: T; readonly weight: number}> = [];
	for (const member of members) {
		const weight = mixHashes(key, member.hash);
		const position = chosen.findIndex(each => each.weight < weight);
		if (position !== -1) {
			chosen.splice(position, 0, {member, weight});
		} else if (chosen.length < limit) {
			chosen.push({member, weight});
		}

		chosen.length = Math.min(chosen.length, limit);
	}

	return chosen.map(each => each.member);
}
