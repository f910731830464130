import {describe, expect, it} from 'vitest';
import {ColdChecks, type CheckTarget} from '../limits/cold-checks.js';

const upstreams = Array.from({length: 30}, (_, index) => `e${index}`);
const manyUpstreams = Array.from({length: 60}, (_, index) => `e${index}`);
const tickMs = 200;

/** Hosts of one failure domain, each of which sees those that are linked with it. */
class Domain {
	now = 0;
	confirmedAge = 3000;
	readonly sent: Array<{readonly at: number; readonly host: string; readonly upstream: string}> = [];
	skipped = 0;
	upstreams = upstreams;
	readonly #checks = new Map<string, ColdChecks>();

	run(milliseconds: number, viewOf: (host: string) => readonly string[], hosts: readonly string[], change: Partial<CheckTarget> = {}): void {
		for (const end = this.now + milliseconds; this.now < end; this.now += tickMs) {
			for (const host of hosts) {
				const checks = this.#checks.get(host) ?? new ColdChecks(host, 'a');
				this.#checks.set(host, checks);
				checks.update({now: this.now, confirmedAge: this.confirmedAge, hosts: viewOf(host)});
				const targets = this.upstreams.filter(upstream => checks.isAssigned(upstream)).map(upstream => ({upstream, isReachable: true, ...change}));
				const due = checks.takeDue(targets);
				this.sent.push(...due.sent.map(upstream => ({at: this.now, host, upstream})));
				this.skipped += due.skipped.length;
			}
		}
	}

	countMostInSecond(): number {
		return Math.max(...upstreams.map(upstream => {
			const times = this.sent.filter(each => each.upstream === upstream).map(({at}) => at);
			return Math.max(0, ...times.map(first => times.filter(at => at >= first && at < first + 1000).length));
		}));
	}
}

const three = ['h1', 'h2', 'h3'];

describe('health checks', () => {
	it('of each upstream are sent by one host of the domain, once a second', () => {
		const domain = new Domain();
		domain.run(11_000, () => three, three);
		expect(domain.countMostInSecond()).toBe(1);
		expect(new Set(domain.sent.map(({host}) => host)).size).toBe(3);
		const last = domain.sent.filter(({at}) => at >= 10_000);
		expect(last).toHaveLength(upstreams.length);
		// Spread over the second.
		expect(new Set(last.map(({at}) => at)).size).toBe(1000 / tickMs);
	});

	it('are sent less often by a host that many upstreams are assigned to, to bound its processor time', () => {
		const domain = new Domain();
		domain.upstreams = manyUpstreams;
		domain.run(21_000, () => ['h1'], ['h1']);
		const last = domain.sent.filter(({at}) => at >= 11_000);
		expect(last.length / 10).toBeCloseTo(30, -1);
		expect(new Set(last.map(({upstream}) => upstream)).size).toBe(manyUpstreams.length);
	});

	it('are never sent twice in a second while hosts learn at different times that one is lost, and go on without it', () => {
		const domain = new Domain();
		domain.run(5000, () => three, three);
		const rest = ['h1', 'h2'];
		domain.run(600, host => host === 'h1' ? rest : three, rest);
		domain.run(5000, () => rest, rest);
		expect(domain.countMostInSecond()).toBe(1);
		const start = domain.now;
		domain.run(1000, () => rest, rest);
		expect(domain.sent.filter(({at}) => at >= start)).toHaveLength(upstreams.length);
	});

	it('are not sent by a host of a large fleet that has just lost one of its relays, and takes itself for one', () => {
		const domain = new Domain();
		domain.run(5000, () => ['h1', 'h2'], three);
		domain.run(2400, host => host === 'h3' ? ['h1', 'h3'] : ['h1', 'h2'], three);
		domain.run(2000, () => ['h1', 'h2'], three);
		expect(domain.sent.filter(({host}) => host === 'h3')).toEqual([]);
		expect(domain.countMostInSecond()).toBe(1);
	});

	it('are not sent while the registrations are confirmed, nor right after a suspension', () => {
		const domain = new Domain();
		domain.confirmedAge = 2000;
		domain.run(5000, () => three, three);
		domain.confirmedAge = 10_000;
		domain.now += 5000;
		domain.run(800, () => three, three);
		expect(domain.sent).toEqual([]);
	});

	it.each([
		['is in a domain that can\'t be reached', {isReachable: false}, 0],
		['has left', {obstacle: {type: 'departure'}}, 0],
		['is evacuated', {obstacle: {type: 'evacuation'}}, 0],
		['is known to be cold for longer than the next checks', {coldUntil: 100_000}, 0],
		['gets as many requests as it takes while it is cold', {obstacle: {type: 'cold-start', wait: 100}, coldUntil: 0}, upstreams.length],
	] as const)('skip an upstream that %s', (_, change, skipped) => {
		const domain = new Domain();
		domain.run(5000, () => ['h1'], ['h1'], change);
		const before = domain.skipped;
		domain.run(1000, () => ['h1'], ['h1'], change);
		expect([domain.sent, domain.skipped - before]).toEqual([[], skipped]);
	});

	it('of a cold upstream are sent again before its cold time ends, as it may have become cold anew', () => {
		const domain = new Domain();
		domain.run(9800, () => ['h1'], ['h1'], {coldUntil: 10_000});
		const first = Math.min(...domain.sent.map(({at}) => at));
		expect([first >= 8000, first < 9000]).toEqual([true, true]);
	});
});
