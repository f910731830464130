/** Which hosts count as foreign, for registries that differ as they do while hosts start, while upstreams register, and after a partition. */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	createIdentity, hashRegistration, judgeIdentity, type FleetKnowledge, type Kinship,
} from '../registry/fleet-identity.js';

/** Knowledge of a host that reaches the store at a port and knows the registrations `from` to `to` of a fleet. */
function know(store: number, fleet: string, to: number, from = 0): FleetKnowledge {
	const ids = Array.from({length: to - from}, (_, index) => index + from);
	return {stores: new Set([store]), upstreams: new Set(ids.map(id => hashRegistration(`engine-${id}`, {host: fleet, port: 80 + id})))};
}

function judgeBoth(a: FleetKnowledge, b: FleetKnowledge): readonly Kinship[] {
	return [judgeIdentity(a, createIdentity(b)), judgeIdentity(b, createIdentity(a))];
}

describe('two hosts', () => {
	it.each([
		['of one fleet', know(1, 'a', 60), know(1, 'a', 60), 'same'],
		['of one fleet that reach the store at different addresses', know(1, 'a', 60), know(2, 'a', 60), 'same'],
		['of two fleets with the same upstream ids', know(1, 'a', 60), know(2, 'b', 60), 'foreign'],
		['of two fleets whose stores have the same local address', know(1, 'a', 60), know(1, 'b', 60), 'foreign'],
		['that know nothing yet and reach the store at the same address', know(1, 'a', 0), know(1, 'a', 0), 'same'],
		['of which one knows nothing yet at the same address', know(1, 'a', 60), know(1, 'a', 0), 'same'],
		['of which one knows nothing yet at another address', know(1, 'a', 60), know(2, 'a', 0), 'undecided'],
		['that know nothing yet at different addresses', know(1, 'a', 0), know(2, 'a', 0), 'undecided'],
		['of which one was cut off while the only upstream moved', know(1, 'a', 1), know(1, 'b', 1), 'same'],
	] as const)('%s', (_, a, b, expected) => {
		expect(judgeBoth(a, b)).toEqual([expected, expected]);
	});
});

it('recognises a restarted host by an address of the store that a peer remembers', () => {
	const established: FleetKnowledge = {...know(1, 'a', 60), stores: new Set([1, 2])};
	expect(judgeBoth(established, know(2, 'a', 0))).toEqual(['same', 'same']);
});

it('never takes a host of the same fleet for foreign while upstreams register or leave one by one', () => {
	fc.assert(fc.property(fc.integer({min: 0, max: 300}), fc.integer({min: 0, max: 300}), (first, second) => {
		expect(judgeBoth(know(1, 'a', first), know(2, 'a', second))).not.toContain('foreign');
	}));
});

it('never takes a host of another fleet for one of this fleet, whatever both know', () => {
	fc.assert(fc.property(fc.integer({min: 0, max: 300}), fc.integer({min: 0, max: 300}), (first, second) => {
		expect(judgeBoth(know(1, 'a', first), know(2, 'b', second))).not.toContain('same');
	}));
});
