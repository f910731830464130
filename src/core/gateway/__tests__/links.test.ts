import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {Links, type LinkedUpstream} from '../health/links.js';
import {rankTunnelPeers, TunnelRefusals} from '../health/tunnel-peers.js';

const upstreams: readonly LinkedUpstream[] = Array.from({length: 12}, (_, index) => ({id: `e${index}`, failureDomain: 'abc'[index % 3]!}));

function findTunnelled(links: Links): readonly string[] {
	return upstreams.filter(each => links.findRoute(each).type === 'tunnel').map(({id}) => id);
}

describe('links to upstreams', () => {
	it('are used until another host connects where this one doesn\'t', () => {
		const links = new Links();
		expect(findTunnelled(links)).toEqual([]);
		expect(links.recordCut(upstreams[0]!, 'refused', 0)).toBe(true);
		expect(links.recordCut(upstreams[0]!, 'silent', 10)).toBe(false);
		expect(links.findRoute(upstreams[0]!)).toEqual({type: 'tunnel', failure: 'refused'});
		expect(findTunnelled(links)).toEqual(['e0']);
	});

	it('are presumed cut to a failure domain with two cut upstreams, unless one there was connected since', () => {
		const links = new Links();
		links.recordCut(upstreams[0]!, 'silent', 100);
		links.recordCut(upstreams[3]!, 'silent', 110);
		expect(findTunnelled(links)).toEqual(['e0', 'e3', 'e6', 'e9']);
		links.recordConnection(upstreams[6]!, 120);
		expect(findTunnelled(links)).toEqual(['e0', 'e3']);
	});

	it('are presumed cut to all failure domains with three cut upstreams of several', () => {
		const links = new Links();
		links.recordConnection(upstreams[2]!, 50);
		for (const index of [0, 1, 3]) {
			links.recordCut(upstreams[index]!, 'silent', 100);
		}

		expect(findTunnelled(links)).toHaveLength(12);
		links.recordConnection(upstreams[2]!, 120);
		expect(findTunnelled(links)).toEqual(['e0', 'e1', 'e3', 'e6', 'e9']);
	});

	it('that are cut are checked one at a time, and all within 2 s once one is back', () => {
		const links = new Links();
		for (const each of upstreams) {
			links.recordCut(each, 'silent', 0);
		}

		let checks = 0;
		for (let now = 0; now <= 10_000; now += 50) {
			checks += links.selectChecks(upstreams, now).length;
		}

		expect(checks).toBeLessThanOrEqual(25);
		let now = 10_000;
		for (; links.hasCuts && now < 20_000; now += 50) {
			for (const each of links.selectChecks(upstreams, now)) {
				links.recordConnection(each, now);
			}
		}

		expect(now).toBeLessThanOrEqual(12_000);
		expect(findTunnelled(links)).toEqual([]);
	});

	it('in any history: an upstream connected last over the own link is never avoided, and each avoided one is checked', () => {
		const step = fc.record({type: fc.constantFrom('cut', 'connect', 'forget'), index: fc.nat({max: 11}), gap: fc.nat({max: 300})});
		fc.assert(fc.property(fc.array(step, {maxLength: 40}), steps => {
			const links = new Links();
			let now = 0;
			const connected = new Set<string>();
			for (const {type, index, gap} of steps) {
				now += gap + 1;
				const upstream = upstreams[index]!;
				if (type === 'cut') {
					links.recordCut(upstream, 'silent', now);
					connected.clear();
				} else if (type === 'connect') {
					links.recordConnection(upstream, now);
					connected.add(upstream.id);
				} else {
					links.forget(upstream.id);
				}

				expect(findTunnelled(links).filter(id => connected.has(id))).toEqual([]);
			}

			const avoided = findTunnelled(links);
			const checked = new Set<string>();
			for (let turn = 0; turn < 12; turn++) {
				now += 2000;
				for (const {id} of links.selectChecks(upstreams, now)) {
					checked.add(id);
				}
			}

			expect(avoided.filter(id => !checked.has(id))).toEqual([]);
		}), {numRuns: 2000});
	});
});

describe('hosts that are asked for a tunnel', () => {
	const peers = [{name: 'a1', failureDomain: 'a'}, {name: 'a2', failureDomain: 'a'}, {name: 'b1', failureDomain: 'b'}, {name: 'c1', failureDomain: 'c'}];
	const rank = (refusals: TunnelRefusals, turn: number) => rankTunnelPeers(peers, upstreams[1]!, {
		ownDomain: 'a', refusals, turn, now: 1000,
	}).map(({name}) => name);

	it('are of this domain or that of the upstream first, in turns, and the first two of different domains', () => {
		const firsts = new Set<string>();
		for (let turn = 0; turn < 50; turn++) {
			const order = rank(new TunnelRefusals(), turn);
			firsts.add(order[0]!);
			expect(order.toSorted()).toEqual(['a1', 'a2', 'b1', 'c1']);
			expect(order[0]!.slice(0, 1)).not.toBe(order[1]!.slice(0, 1));
		}

		expect([...firsts].toSorted()).toEqual(['a1', 'a2', 'b1']);
	});

	it('come after the others for a second if they refused', () => {
		const refusals = new TunnelRefusals();
		refusals.record('a1', 'b', 500);
		refusals.record('a2', 'b', 500);
		refusals.record('b1', 'b', 500);
		refusals.record('c1', 'b', 0);
		expect(rank(refusals, 1)[0]).toBe('c1');
	});
});
