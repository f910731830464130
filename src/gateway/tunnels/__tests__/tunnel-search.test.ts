/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- The hosts and sockets have only the members that these tests use. */
/** Searches for a way in fleets of hundreds of hosts, of which few reach the upstream, without a network. */
import {type Socket} from 'node:net';
import {expect, it} from 'vitest';
import {hashText, mixHashes} from '../../../core/utils/hashes.js';
import {ignore} from '../../../entry/ignore.js';
import {type Host} from '../../peers/messages.js';
import {Introductions} from '../introductions.js';
import {type OpenTunnelOffer} from '../messages.js';
import {TunnelSearch, type Offerer, type TunnelSearchResult} from '../tunnel-search.js';

const hostCount = 340;
const never = new AbortController().signal;

type Answer = 'absent' | 'connected' | 'cut' | 'gone' | 'mute';

type Played = {
	readonly result: TunnelSearchResult;
	readonly asked: number;
	readonly dialled: number;
};

/** Plays a search of a host that knows two relays at first; `answer` says what each host does. */
async function play(seed: number, answer: (index: number) => Answer): Promise<Played> {
	const hosts = Array.from({length: hostCount}, (_, index) => ({name: `h${index}`, failureDomain: 'abcde'[index % 5]!}) as unknown as Host);
	const order = hosts.toSorted((a, b) => mixHashes(hashText(a.name), seed) - mixHashes(hashText(b.name), seed));
	const offerers = new Map<string, Offerer>();
	let asked = 0;
	let dialled = 0;
	const offer = ({name, failureDomain}: Host) => {
		offerers.set(name, {
			name, failureDomain, offer: {} as unknown as OpenTunnelOffer, lost: new Set(),
		});
	};

	offer(hosts[0]!);
	offer(hosts[5]!);
	const introductions = new Introductions({
		now: () => 0,
		listHosts: () => order.filter(({name}) => !offerers.has(name)),
		rank: candidates => candidates,
		dial(host) {
			dialled++;
			setTimeout(() => {
				const isLost = answer(Number(host.name.slice(1))) === 'cut';
				if (isLost) {
					introductions.recordOffer(host.name, false);
				} else {
					offer(host);
					introductions.recordOffer(host.name, true);
				}

				search.proceed();
			}, 1);
		},
		release: () => undefined,
	});
	const search = new TunnelSearch({
		id: 't',
		rank: done => [...offerers.values()].filter(({name}) => !done.has(name)),
		introduce: done => introductions.request(done),
		async open({name}) {
			asked++;
			switch (answer(Number(name.slice(1)))) {
				case 'connected': {
					return {type: 'connected', socket: {destroy: () => undefined} as unknown as Socket};
				}

				case 'absent': {
					introductions.recordOffer(name, false);
					return {type: 'absent', failure: 'silent', scope: 'none'};
				}

				case 'gone': {
					return {type: 'absent', failure: 'refused', scope: 'group'};
				}

				case 'cut': {
					return {type: 'refused', reason: 'cut'};
				}

				case 'mute': {
					return new Promise(ignore);
				}
			}
		},
		onRefusal: () => undefined,
	});
	return {result: await search.run(never), asked, dialled};
}

it('finds one of the 34 hosts of 340 that reach an upstream if the others know that they don\'t, and asks and dials few', async () => {
	const played = await Promise.all(Array.from({length: 60}, async (_, seed) => play(seed, index => mixHashes(index, seed) % 10 === 0 ? 'connected' : 'cut')));
	expect(played.filter(({result}) => result.type === 'connected').length).toBe(60);
	expect(Math.max(...played.map(({asked}) => asked))).toBeLessThanOrEqual(4);
	expect(played.reduce((sum, {dialled}) => sum + dialled, 0) / 60).toBeLessThan(20);
});

it('asks 24 hosts at most, also if none of them knows that it doesn\'t reach the upstream', async () => {
	const played = await Promise.all(Array.from({length: 20}, async (_, seed) => play(seed, () => 'absent')));
	expect(new Set(played.map(({result}) => result.type))).toEqual(new Set(['none']));
	expect(Math.max(...played.map(({asked}) => asked))).toBeLessThanOrEqual(24);
	expect(Math.max(...played.map(({dialled}) => dialled))).toBeLessThanOrEqual(40);
});

it('ends after 600 ms if the hosts that are asked don\'t reply', async () => {
	const began = performance.now();
	const {result, asked} = await play(1, () => 'mute');
	expect([result.type, asked <= 6]).toEqual(['none', true]);
	expect(performance.now() - began).toBeGreaterThan(590);
});

it('takes an upstream for gone after two hosts with sound links, and dials none for that', async () => {
	const {result, asked, dialled} = await play(1, () => 'gone');
	expect([result, asked, dialled]).toEqual([{type: 'absent', failure: 'refused'}, 2, 0]);
});
