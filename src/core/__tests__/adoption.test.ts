import {describe, expect, it} from 'vitest';
import {codes, type Effect} from '../index.js';
import {createDocument, SimulatedNetwork} from './network.js';

const hosts = ['a1', 'a2', 'b1', 'b2', 'c1'];

function createFleet(seed = 1) {
	const network = new SimulatedNetwork(seed);
	for (const host of hosts) {
		network.addHost(host, host[0]!);
	}

	network.sendHostList(...hosts);
	return network;
}

function revisionOf(network: SimulatedNetwork, host: string) {
	return network.state(host).configuration.inForce?.revision ?? 0;
}

function isAdoptedEverywhere(network: SimulatedNetwork, revision: number) {
	return hosts.every(host => revisionOf(network, host) === revision);
}

function refusalCodes(network: SimulatedNetwork): readonly number[] {
	const codesOf = (effect: Effect) => effect.type === 'log' && effect.decision.type === 'configuration' && !effect.decision.accepted
		? [effect.decision.code]
		: [];
	return network.effects.flatMap(({effect}) => codesOf(effect));
}

describe('adoption of configuration documents', () => {
	it('reaches every host from one, through a failure domain that links two others', () => {
		const network = createFleet();
		network.partition((x, y) => (x.failureDomain === 'a' && y.failureDomain === 'c') || (x.failureDomain === 'c' && y.failureDomain === 'a'));
		network.publishConfiguration(createDocument(1), 'a1');
		expect(network.run(10_000, () => isAdoptedEverywhere(network, 1))).toBe(true);
		network.publishConfiguration(createDocument(2), 'a1');
		expect(network.run(2000, () => isAdoptedEverywhere(network, 2))).toBe(true);
	});

	it('serves nothing before a document is in force and peers with a higher revision have been asked', () => {
		const network = createFleet();
		network.run(5000);
		expect(network.effects.some(({effect}) => effect.type === 'ready')).toBe(false);
		network.publishConfiguration(createDocument(7), 'a1');
		network.run(5000);
		network.addHost('b1', 'b', 5_000_000);
		network.sendHostList('b1');
		network.publishConfiguration(createDocument(3), 'b1');
		const from = network.effects.length;
		const isReady = () => network.effects.slice(from).some(({host, effect}) => host === 'b1' && effect.type === 'ready');
		expect(isReady()).toBe(false);
		expect(network.run(8000, isReady)).toBe(true);
		expect(revisionOf(network, 'b1')).toBe(7);
	});

	it('serves after a bounded wait when no listed peer answers', () => {
		const network = createFleet();
		network.partition(() => true);
		network.publishConfiguration(createDocument(1), 'a1');
		expect(network.run(4000, () => network.state('a1').membership.phase === 'serving')).toBe(true);
	});

	it.each([1, 2, 3])('never reverts to a lower revision over 200 changes with stale reads and restarts (seed %i)', seed => {
		const network = createFleet(seed);
		network.publishConfiguration(createDocument(1), ...hosts);
		network.run(4000);
		const serving = new Map<string, number>();
		let reversions = 0;
		for (let revision = 2; revision <= 200; revision++) {
			const reader = hosts[revision % hosts.length]!;
			network.publishConfiguration(createDocument(revision), reader);
			network.publishConfiguration(createDocument(Math.max(1, revision - 5)), hosts[(revision + 2) % hosts.length]!);
			if (revision % 10 === 0) {
				const restarted = hosts[(revision / 10) % hosts.length]!;
				network.addHost(restarted, restarted[0]!);
				network.sendHostList(...hosts);
				network.publishConfiguration(createDocument(Math.max(1, revision - 9)), restarted);
			}

			for (let turn = 0; turn < 10; turn++) {
				network.run(50);
				for (const host of hosts) {
					const {phase} = network.state(host).membership;
					const held = revisionOf(network, host);
					const before = serving.get(host) ?? 0;
					reversions += phase === 'serving' && held < before ? 1 : 0;
					serving.set(host, phase === 'serving' ? Math.max(before, held) : before);
				}
			}
		}

		expect(reversions).toBe(0);
		// The last reader may have restarted before it sent the document to a peer; the platform still has it.
		network.publishConfiguration(createDocument(200), 'b2');
		expect(network.run(5000, () => isAdoptedEverywhere(network, 200))).toBe(true);
		expect(new Set(refusalCodes(network))).toEqual(new Set([codes.staleRevision]));
	});

	it('reports a peer that has other content for the same revision, and keeps its own', () => {
		const network = createFleet();
		network.partition(() => true);
		network.publishConfiguration(createDocument(2), 'a1', 'a2');
		network.publishConfiguration(createDocument(2, {failureDomains: [{id: 'z', region: 'z'}]}), 'b1');
		network.partition(() => false);
		network.run(20_000);
		expect(refusalCodes(network)).toContain(codes.sameRevisionOtherContent);
		expect(network.state('a1').configuration.inForce?.failureDomains[0]?.id).toBe('a');
		expect(network.state('b1').configuration.inForce?.failureDomains[0]?.id).toBe('z');
	});

	it('parses only documents that it requested, and pauses requests to a peer that sent a bad one', () => {
		const network = createFleet();
		network.publishConfiguration(createDocument(1), ...hosts);
		network.run(4000);
		const parses = () => network.effects.filter(({host, effect}) => host === 'a1' && effect.type === 'parse-configuration').length;
		const before = parses();
		network.dispatch('a1', {type: 'peer-message', from: 'b1', message: {type: 'configuration', text: 'unasked'}});
		expect(parses()).toBe(before);
		network.dispatch('a1', {
			type: 'configuration-refused', source: {type: 'peer', host: 'b1'}, code: codes.badDocument, detail: '',
		});
		const wanted = () => network.effects.filter(({host, effect}) => host === 'a1' && effect.type === 'peer-send' && effect.message.type === 'configuration-wanted').length;
		const asked = wanted();
		const hello = {
			type: 'hello', member: network.nodes.get('b1')!.member, phase: 'serving', revision: 9,
		} as const;
		network.dispatch('a1', {type: 'peer-message', from: 'b1', message: hello});
		expect(wanted()).toBe(asked);
	});
});
