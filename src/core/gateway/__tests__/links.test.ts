import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {Links, type LinkedUpstream} from '../health/links.js';
import {isGone, rankTunnelPeers, TunnelRefusals} from '../health/tunnel-peers.js';

const upstreams: readonly LinkedUpstream[] = Array.from({length: 12}, (_, index) => ({id: `e${index}`, service: 's', failureDomain: 'abc'[index % 3]!}));

function findTunnelled(links: Links): readonly string[] {
	return upstreams.filter(each => links.findRoute(each).type === 'tunnel').map(({id}) => id);
}

describe('links to upstreams', () => {
	it('are used until another host connects where this one doesn\'t', () => {
		const links = new Links();
		expect(findTunnelled(links)).toEqual([]);
		expect(links.recordCut(upstreams[0]!, 'refused', 0)).toBe(true);
		expect(links.recordCut(upstreams[0]!, 'silent', 10)).toBe(false);
		expect(links.findRoute(upstreams[0]!)).toEqual({type: 'tunnel', fault: 'refused', isShown: true});
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

	it('are presumed cut to a service of which three are cut in several failure domains, though another service is reached', () => {
		const links = new Links();
		const others = upstreams.map(({id, failureDomain}) => ({id: `o${id}`, service: 'o', failureDomain}));
		for (const index of [0, 1, 3]) {
			links.recordCut(upstreams[index]!, 'silent', 100);
		}

		links.recordConnection(others[2]!, 200);
		expect(findTunnelled(links)).toHaveLength(12);
		expect(others.filter(each => links.findRoute(each).type === 'tunnel')).toEqual([]);
	});

	it('that no other host shows to be cut are presumed so once several are lost, until one connects', () => {
		const links = new Links();
		links.recordLoss(upstreams[0]!, 'silent', 100);
		expect([findTunnelled(links), links.cutCount]).toEqual([[], 0]);
		links.recordLoss(upstreams[3]!, 'silent', 200);
		expect([findTunnelled(links), links.lostGroups]).toEqual([['e0', 'e3', 'e6', 'e9'], ['s@a']]);
		links.recordConnection(upstreams[9]!, 300);
		expect([findTunnelled(links), links.lostGroups]).toEqual([[], []]);
	});

	it('are forgotten as lost after two seconds unless others are lost meanwhile', () => {
		const links = new Links();
		links.recordLoss(upstreams[0]!, 'refused', 0);
		links.recordLoss(upstreams[1]!, 'refused', 2500);
		links.recordLoss(upstreams[3]!, 'refused', 2600);
		expect(findTunnelled(links)).toEqual([]);
	});

	it('behind something that accepts connections are restored by an answer, not by a connection', () => {
		const links = new Links();
		links.recordCut(upstreams[0]!, 'mute', 0);
		links.recordCut(upstreams[3]!, 'mute', 0);
		expect(links.recordConnection(upstreams[0]!, 100)).toBe(false);
		expect(findTunnelled(links)).toEqual(['e0', 'e3', 'e6', 'e9']);
		expect(links.recordAnswer(upstreams[0]!, 200)).toBe(true);
		expect(findTunnelled(links)).toEqual(['e3']);
	});

	it('are sound where something came back since, and nowhere once all are presumed to be cut', () => {
		const links = new Links();
		expect(links.findSoundScope(upstreams[0]!, 0)).toBe('none');
		links.recordTraffic(upstreams[1]!, 0);
		expect([links.findSoundScope(upstreams[1]!, 0), links.findSoundScope(upstreams[0]!, 0), links.findSoundScope(upstreams[1]!, 1)]).toEqual(['group', 'elsewhere', 'none']);
		links.recordCut(upstreams[1]!, 'silent', 100);
		links.recordCut(upstreams[4]!, 'silent', 100);
		expect(links.findSoundScope(upstreams[1]!, 0)).toBe('none');
	});

	it('that are cut are checked one at a time, and all within 2 s once one is back', () => {
		const links = new Links();
		for (const each of upstreams) {
			links.recordCut(each, 'silent', 0);
		}

		let checks = 0;
		for (let now = 0; now <= 10_000; now += 50) {
			checks += links.selectChecks(() => upstreams, now).length;
		}

		expect(checks).toBeLessThanOrEqual(25);
		let now = 10_000;
		for (; links.hasCuts && now < 20_000; now += 50) {
			for (const each of links.selectChecks(() => upstreams, now)) {
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
				for (const {id} of links.selectChecks(() => upstreams, now)) {
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

	it('take turns by their weights: hosts of a third domain get few tunnels, and the first two are of different domains', () => {
		const firsts = new Map<string, number>();
		for (let turn = 0; turn < 2000; turn++) {
			const order = rank(new TunnelRefusals(), turn);
			firsts.set(order[0]!, (firsts.get(order[0]!) ?? 0) + 1);
			expect(order.toSorted()).toEqual(['a1', 'a2', 'b1', 'c1']);
			expect(order[0]!.slice(0, 1)).not.toBe(order[1]!.slice(0, 1));
		}

		for (const name of ['a1', 'a2', 'b1']) {
			expect(firsts.get(name)! / 2000).toBeGreaterThan(0.27);
			expect(firsts.get(name)! / 2000).toBeLessThan(0.35);
		}

		expect(firsts.get('c1')! / 2000).toBeGreaterThan(0.05);
		expect(firsts.get('c1')! / 2000).toBeLessThan(0.11);
	});

	it('get tunnels by their processor cores, and fewer the more they serve', () => {
		const weighted = [
			{name: 'a1', failureDomain: 'a', capacity: 2}, {name: 'a2', failureDomain: 'a', capacity: 1}, {
				name: 'a3', failureDomain: 'a', capacity: 1, tunnels: 48,
			},
		];
		const firsts = new Map<string, number>();
		for (let turn = 0; turn < 3000; turn++) {
			const [first] = rankTunnelPeers(weighted, upstreams[0]!, {
				ownDomain: 'a', refusals: new TunnelRefusals(), turn, now: 0,
			});
			firsts.set(first!.name, (firsts.get(first!.name) ?? 0) + 1);
		}

		expect(firsts.get('a1')! / firsts.get('a2')!).toBeGreaterThan(1.7);
		expect(firsts.get('a2')! / firsts.get('a3')!).toBeGreaterThan(3);
	});

	it('show that an upstream is gone only if their own links are sound', () => {
		const blind = {failureDomain: 'a', scope: 'none'} as const;
		expect(isGone([blind, {failureDomain: 'b', scope: 'none'}, {failureDomain: 'c', scope: 'none'}], true)).toBe(false);
		expect(isGone([{failureDomain: 'a', scope: 'group'}, blind], false)).toBe(false);
		expect(isGone([{failureDomain: 'a', scope: 'group'}, {failureDomain: 'a', scope: 'group'}], false)).toBe(true);
		expect(isGone([{failureDomain: 'a', scope: 'elsewhere'}, {failureDomain: 'a', scope: 'elsewhere'}], false)).toBe(false);
		expect(isGone([{failureDomain: 'a', scope: 'elsewhere'}, {failureDomain: 'b', scope: 'group'}], false)).toBe(true);
		expect(isGone([{failureDomain: 'a', scope: 'group'}], true)).toBe(true);
		expect(isGone([], true)).toBe(false);
	});

	it('come after the others for a second if they refused', () => {
		const refusals = new TunnelRefusals();
		refusals.record('a1', 's@b', 500);
		refusals.record('a2', 's@b', 500);
		refusals.record('b1', 's@b', 500);
		refusals.record('c1', 's@b', 0);
		expect(rank(refusals, 1)[0]).toBe('c1');
	});
});
