import {describe, expect, it} from 'vitest';
import {type UpstreamStatement} from '../../core/gateway/limits/upstream-reports.js';
import {fromWireReport, toWireReport} from '../peers/load-messages.js';
import {SelfReports} from '../upstreams/self-reports.js';

const process = {upstream: 'e1', started: 7};
const messageDelayMs = 5;

/** Hosts that exchange their reports with a delay. */
class Fleet {
	readonly hosts: readonly SelfReports[];
	now = 0;
	messages = 0;
	started: number | undefined = process.started;
	readonly #inFlight: Array<{readonly at: number; readonly deliver: () => void}> = [];

	constructor(size: number) {
		this.hosts = Array.from({length: size}, (_, index) => new SelfReports({
			log: {write: () => undefined},
			now: () => this.now,
			random: () => 0,
			wall: () => this.now,
			findProcess: () => this.started === undefined ? undefined : {upstream: process.upstream, started: this.started},
			share: () => ({visible: 1, spread: 0}),
			publish: report => {
				this.#send(index, report);
			},
		}));
	}

	/** Returns the registered upstreams that accept no request of a host. */
	findUnavailable(host: SelfReports): readonly string[] {
		const {upstream: id} = process;
		return this.started !== undefined && host.findObstacle({id, started: this.started}) !== undefined ? [id] : [];
	}

	run(milliseconds: number): void {
		const end = this.now + milliseconds;
		for (; this.now < end; this.now++) {
			while (this.#inFlight[0] !== undefined && this.#inFlight[0].at <= this.now) {
				this.#inFlight.shift()!.deliver();
			}
		}
	}

	#send(from: number, report: UpstreamStatement): void {
		const wireReport = toWireReport(report, this.now);
		for (const [index, host] of this.hosts.entries()) {
			if (index !== from) {
				this.messages++;
				this.#inFlight.push({
					at: this.now + messageDelayMs, deliver: () => {
						host.applyPeerReport(`h${from}`, fromWireReport(wireReport, this.now));
					},
				});
			}
		}
	}
}

describe('a rate limit', () => {
	it('reaches hosts that got no response of the upstream', () => {
		const fleet = new Fleet(3);
		fleet.hosts[0]!.record(process, {rateLimit: 2, isLeaving: false}, 0);
		fleet.run(10);
		expect(fleet.hosts.map(host => host.limitedCount)).toEqual([1, 1, 1]);
	});

	it('is known to a host that hears of it before it has the registration', () => {
		const fleet = new Fleet(2);
		fleet.started = undefined;
		fleet.hosts[0]!.record(process, {rateLimit: 2, isLeaving: false}, 0);
		fleet.run(10);
		fleet.started = process.started;
		expect(fleet.hosts.map(host => host.limitedCount)).toEqual([1, 1]);
	});

	it('is lifted at all hosts once one response states none, even if the responses came closely together', () => {
		const fleet = new Fleet(3);
		fleet.run(1000);
		fleet.hosts[0]!.record(process, {rateLimit: 2, isLeaving: false}, fleet.now - 50);
		fleet.run(20);
		fleet.hosts[1]!.record(process, {rateLimit: 2, isLeaving: false}, fleet.now - 50);
		fleet.run(10);
		for (let response = 0; response < 60; response++) {
			fleet.hosts[2]!.record(process, {isLeaving: false}, fleet.now - 5);
			fleet.run(50);
		}

		expect(fleet.hosts.map(host => host.limitedCount)).toEqual([0, 0, 0]);
		expect(fleet.messages).toBeLessThanOrEqual(8);
	});

	it('is shared once in two seconds, not with each response', () => {
		const fleet = new Fleet(2);
		for (let response = 0; response < 50; response++) {
			fleet.hosts[0]!.record(process, {rateLimit: 2, isLeaving: false}, fleet.now);
			fleet.run(50);
		}

		expect(fleet.messages).toBe(2);
	});

	it('holds again when the registration of its upstream comes back after it was lost', () => {
		const fleet = new Fleet(1);
		fleet.hosts[0]!.record(process, {rateLimit: 1, isLeaving: false}, 0);
		fleet.hosts[0]!.countRequest('e1', 0);
		fleet.started = undefined;
		expect(fleet.findUnavailable(fleet.hosts[0]!).length).toBe(0);
		fleet.started = process.started;
		expect([fleet.hosts[0]!.limitedCount, fleet.findUnavailable(fleet.hosts[0]!).length]).toEqual([1, 1]);
	});

	it('ends with the first response of the process that takes the place of the one that reported it', () => {
		const fleet = new Fleet(2);
		fleet.hosts[0]!.record(process, {rateLimit: 2, isLeaving: false}, 0);
		fleet.run(200);
		fleet.started = 8;
		expect(fleet.hosts.map(host => host.limitedCount)).toEqual([1, 1]);
		fleet.hosts[0]!.record({...process, started: 8}, {isLeaving: false}, fleet.now);
		fleet.run(10);
		expect(fleet.hosts.map(host => host.limitedCount)).toEqual([0, 0]);
	});
});

describe('a departure', () => {
	it('reaches hosts that got no response of the upstream, once', () => {
		const fleet = new Fleet(3);
		for (let response = 0; response < 5; response++) {
			fleet.hosts[0]!.record(process, {isLeaving: true}, fleet.now);
			fleet.run(10);
		}

		expect(fleet.hosts.map(host => fleet.findUnavailable(host))).toEqual([['e1'], ['e1'], ['e1']]);
		expect(fleet.messages).toBe(2);
	});

	it('is not taken back by a response without one, nor by the loss and return of the registration', () => {
		const fleet = new Fleet(1);
		const [host] = fleet.hosts;
		host!.record(process, {isLeaving: true}, 0);
		host!.record(process, {isLeaving: false}, 500);
		fleet.started = undefined;
		expect(fleet.findUnavailable(host!).length).toBe(0);
		fleet.started = process.started;
		expect(fleet.findUnavailable(host!)).toEqual(['e1']);
	});

	it('ends with the process, and a late report of the former one doesn\'t concern the next', () => {
		const fleet = new Fleet(2);
		fleet.hosts[0]!.record(process, {isLeaving: true}, 0);
		fleet.run(10);
		fleet.started = process.started + 1;
		fleet.hosts[0]!.record(process, {isLeaving: true}, 20);
		fleet.run(10);
		expect(fleet.hosts.map(host => fleet.findUnavailable(host).length)).toEqual([0, 0]);
	});
});

describe('a pause', () => {
	const refusal = (pause: number) => ({isLeaving: false, pause});

	it('concerns only the host whose request was refused, until it is over', () => {
		const fleet = new Fleet(2);
		fleet.hosts[0]!.record(process, refusal(500), 0);
		fleet.run(499);
		expect(fleet.hosts.map(host => fleet.findUnavailable(host).length)).toEqual([1, 0]);
		expect(fleet.hosts[0]!.findObstacle({id: 'e1', started: process.started})).toEqual({type: 'pause', wait: 1});
		fleet.run(1);
		expect(fleet.hosts.map(host => fleet.findUnavailable(host).length)).toEqual([0, 0]);
	});

	it('holds for a process that had started before the refusal and is registered after it, and for no later one', () => {
		const fleet = new Fleet(1);
		const [host] = fleet.hosts;
		fleet.run(5000);
		host!.record(process, refusal(5000), 5000);
		fleet.started = 4900;
		expect(fleet.findUnavailable(host!).length).toBe(1);
		fleet.started = 9000;
		expect(fleet.findUnavailable(host!).length).toBe(0);
	});

	it('is not shortened by a later one, nor by an answer', () => {
		const fleet = new Fleet(1);
		const [host] = fleet.hosts;
		host!.record(process, refusal(500), 0);
		host!.record(process, refusal(100), 0);
		host!.record(process, {isLeaving: false}, 0);
		fleet.run(400);
		expect(fleet.findUnavailable(host!).length).toBe(1);
	});
});
