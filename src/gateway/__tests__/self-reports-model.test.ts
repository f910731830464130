/** Random histories of responses and messages: hosts agree with an upstream, and with each other, soon after it has settled. */
import fc from 'fast-check';
import {expect, it} from 'vitest';
import {type UpstreamStatement} from '../../core/gateway/limits/upstream-reports.js';
import {fromWireReport, toWireReport} from '../peers/load-messages.js';
import {SelfReports} from '../upstreams/self-reports.js';

const process = {upstream: 'e1', started: 1};
const hostCount = 3;
const maxMessageDelayMs = 60;

/** Time after the last change in which one host sends requests regularly. */
const settlingMs = 4000;
const requestIntervalMs = 100;

type Step
	/** The upstream states another limit, or none. */
	= | {readonly type: 'limit'; readonly rate: number | undefined}
	/** A host sends a request; the upstream responds after a while, and the response takes a while as well. */
		| {readonly type: 'request'; readonly host: number; readonly there: number; readonly back: number};

type History = {
	readonly steps: ReadonlyArray<{readonly gap: number; readonly step: Step}>;
	/** Delays of the messages between hosts, in turn. */
	readonly delays: readonly number[];
	/** Host that sends requests at the end. */
	readonly last: number;
};

/** Plays a history in virtual time. */
class World {
	now = 1000;
	rate: number | undefined;
	readonly hosts: readonly SelfReports[];
	readonly #delays: readonly number[];
	readonly #events: Array<{readonly at: number; readonly order: number; readonly run: () => void}> = [];
	/** When the last message between two hosts arrives: messages of one link keep their order. */
	readonly #linkFreeAt = new Map<string, number>();
	#messages = 0;

	constructor(delays: readonly number[]) {
		this.#delays = delays;
		this.hosts = Array.from({length: hostCount}, (_, index) => new SelfReports({
			log: {write: () => undefined},
			now: () => this.now,
			random: () => 0,
			wall: () => this.now,
			findProcess: () => process,
			share: () => ({visible: 1, spread: 0}),
			publish: report => {
				this.#publish(index, report);
			},
		}));
	}

	request(host: number, there: number, back: number): void {
		const sent = this.now;
		this.#schedule(sent + there, () => {
			const rateLimit = this.rate;
			this.#schedule(this.now + back, () => {
				this.hosts[host]!.record(process, {rateLimit, isLeaving: false}, sent);
			});
		});
	}

	run(milliseconds: number): void {
		const end = this.now + milliseconds;
		for (;;) {
			const next = this.#events.toSorted((a, b) => a.at - b.at || a.order - b.order)[0];
			if (next === undefined || next.at > end) {
				break;
			}

			this.#events.splice(this.#events.indexOf(next), 1);
			this.now = Math.max(this.now, next.at);
			next.run();
		}

		this.now = end;
	}

	#publish(from: number, report: UpstreamStatement): void {
		const wireReport = toWireReport(report, this.now);
		for (let to = 0; to < hostCount; to++) {
			if (to === from) {
				continue;
			}

			const link = `${from} ${to}`;
			const delay = this.#delays[this.#messages % this.#delays.length]!;
			const at = Math.max(this.now + delay, this.#linkFreeAt.get(link) ?? 0);
			this.#messages++;
			this.#linkFreeAt.set(link, at);
			this.#schedule(at, () => {
				this.hosts[to]!.applyPeerReport(`h${from}`, fromWireReport(wireReport, this.now));
			});
		}
	}

	#schedule(at: number, run: () => void): void {
		this.#events.push({at, order: this.#events.length, run});
	}
}

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
	fc.record({type: fc.constant('limit' as const), rate: fc.constantFrom(undefined, 1, 2, 5)}),
	fc.record({
		type: fc.constant('request' as const), host: fc.nat(hostCount - 1), there: fc.integer({min: 1, max: 150}), back: fc.integer({min: 1, max: 150}),
	}),
);

const historyArbitrary: fc.Arbitrary<History> = fc.record({
	steps: fc.array(fc.record({gap: fc.integer({min: 0, max: 200}), step: stepArbitrary}), {maxLength: 60}),
	delays: fc.array(fc.integer({min: 1, max: maxMessageDelayMs}), {minLength: 1, maxLength: 10}),
	last: fc.nat(hostCount - 1),
});

it('all hosts know the limit of an upstream, or that it has none, once a single one of them gets its responses for a while', () => {
	fc.assert(fc.property(historyArbitrary, ({steps, delays, last}) => {
		const world = new World(delays);
		for (const {gap, step} of steps) {
			world.run(gap);
			if (step.type === 'limit') {
				world.rate = step.rate;
			} else {
				world.request(step.host, step.there, step.back);
			}
		}

		for (let sent = 0; sent < settlingMs; sent += requestIntervalMs) {
			world.request(last, 5, 5);
			world.run(requestIntervalMs);
		}

		const known = world.hosts.map(host => host.all.map(report => report.type === 'rate-limit' ? report.rate : undefined)[0]);
		expect(known).toEqual(world.hosts.map(() => world.rate));
	}), {numRuns: 600});
});
