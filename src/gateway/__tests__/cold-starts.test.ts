import {describe, expect, it} from 'vitest';
import {type Job} from '../../core/gateway/engines/load.js';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {type ColdReport} from '../../core/gateway/limits/upstream-reports.js';
import {ColdUpstreams, type FleetView} from '../upstreams/cold-starts.js';
import {fromWireCold, toWireCold} from '../peers/load-messages.js';
import {createMessageReader, encode} from '../peers/messages.js';

const store = {type: 'store', era: 1, revision: 5} as const;
const peer = {
	type: 'peer', peer: 'h2', era: 1, revision: 5,
} as const;
const durationMs = 3000;

function createEngine(change: Partial<GatewayUpstream> = {}): GatewayUpstream {
	return {
		id: 'e1', service: 'model', address: {host: '127.0.0.1', port: 1}, failureDomain: 'a', slots: 8, isDraining: false, started: 1000, sequence: 1, ...change,
	};
}

/** A host that has known an old engine for a while. */
class Harness {
	now = 0;
	rate: number | undefined = 4;
	relaySilence: number | undefined;
	view: FleetView = {
		visible: 1, isLarge: false, domains: 1, isKnown: true,
	};

	readonly published: ColdReport[] = [];
	readonly lines: Array<Readonly<Record<string, unknown>>> = [];
	readonly upstreams = new Map<string, GatewayUpstream>();
	readonly cold = new ColdUpstreams({
		self: 'h1',
		bound: {overage: 1.5, allowance: 5},
		log: {
			write: line => {
				this.lines.push(line);
			},
		},
		now: () => this.now,
		wall: () => this.now + 1_000_000,
		random: () => 0,
		findUpstream: id => this.upstreams.get(id),
		findColdStart: () => ({duration: durationMs, rate: this.rate}),
		viewFleet: () => this.view,
		findRelaySilence: () => this.relaySilence,
		isOfDomain: () => true,
		publish: report => {
			this.published.push(report);
		},
	});

	constructor(initial = createEngine(), age = 5000) {
		this.register(initial);
		this.run(age);
	}

	get isCold(): boolean {
		return this.cold.count > 0;
	}

	register(upstream: GatewayUpstream, source: typeof peer | typeof store = store): void {
		const previous = this.upstreams.get(upstream.id);
		this.upstreams.set(upstream.id, upstream);
		this.cold.recordRegistration(upstream, previous, source);
	}

	run(milliseconds: number): void {
		for (const end = this.now + milliseconds; this.now < end; this.now += 100) {
			this.cold.update();
		}
	}

	/** Sends as many requests as allowed at this moment, and returns their number. */
	send(most = 100): number {
		for (let count = 0; count < most; count++) {
			if (this.cold.findObstacle(this.upstreams.get('e1')!) !== undefined) {
				return count;
			}

			this.cold.countJob(this.createJob());
		}

		return most;
	}

	createJob(change: Partial<Job> = {}): Job {
		return {
			id: 'j1', host: 'h1', upstream: 'e1', helpers: [], prompt: 1, answer: 1, isHeld: false, read: 1, readPerPass: 1, weight: 1, placing: 'first', began: this.now, due: this.now + 1000, deadline: this.now + 1000, ...change,
		};
	}
}

describe('an engine is cold', () => {
	it('for as long as its registration states, and that is reported to peers once', () => {
		const host = new Harness();
		const engine = createEngine({coldRemaining: 2000, sequence: 2});
		host.register(engine);
		host.register(engine);
		expect([host.isCold, host.send()]).toEqual([true, 1]);
		expect(host.published).toEqual([{
			type: 'cold', upstream: 'e1', started: 1000, until: 7000,
		}]);
		host.run(3100);
		expect([host.isCold, host.send()]).toEqual([false, 100]);
		expect(host.lines.map(({event, upstream, source}) => [event, upstream, source])).toEqual([['upstream-cold', 'e1', 'store'], ['upstream-warm', 'e1', undefined]]);
	});

	it('but a host that learned it from a peer doesn\'t report it again', () => {
		const host = new Harness();
		host.register(createEngine({coldRemaining: 2000, sequence: 2}), peer);
		expect([host.isCold, host.published.length]).toEqual([true, 0]);
	});

	it.each([
		['its process is another one', createEngine({started: 2000})],
		['it has registered for the first time', createEngine({id: 'e2'})],
		['it states a time that can\'t be right', createEngine({sequence: 2, isColdTimeUnknown: true})],
	])('for the duration of the configuration if %s', (_, engine) => {
		const host = new Harness();
		host.register(engine);
		host.run(durationMs - 100);
		expect(host.isCold).toBe(true);
		host.run(200);
		expect(host.isCold).toBe(false);
	});

	it('only once if it goes on stating a time that can\'t be right: each renewal would extend its limit without an end', () => {
		const host = new Harness();
		for (let sequence = 2; sequence < 10; sequence++) {
			host.register(createEngine({sequence, isColdTimeUnknown: true}));
			host.run(1000);
		}

		expect(host.isCold).toBe(false);
	});

	it('after the evacuation of its domain', () => {
		const host = new Harness();
		host.cold.assumeCold(createEngine());
		expect([host.isCold, host.send()]).toEqual([true, 1]);
	});

	it.each([[999_500, true], [990_000, false], [undefined, false]])('or not if it was there before this host and started at %j', (started, isCold) => {
		expect(new Harness(createEngine({started}), 500).isCold).toBe(isCold);
	});

	it('if a peer reports it', () => {
		const host = new Harness();
		host.cold.applyPeerReport('h2', {
			type: 'cold', upstream: 'e1', started: 1000, until: host.now + 900,
		});
		expect([host.isCold, host.published.length, host.lines[0]?.source]).toEqual([true, 0, 'h2']);
	});
});

describe('a cold engine', () => {
	it('gets no request of a host that has just started, was suspended or has met no peer', () => {
		const host = new Harness();
		host.cold.assumeCold(createEngine());
		host.view = {...host.view, isKnown: false};
		expect(host.send()).toBe(0);
		host.view = {...host.view, isKnown: true};
		host.run(100);
		host.now += 1500;
		expect(host.send()).toBe(0);
	});

	it('gets no request of a host whose relay is silent though not yet lost, and some as soon as it is heard again', () => {
		const host = new Harness();
		host.cold.assumeCold(createEngine());
		host.relaySilence = 150;
		expect(host.send()).toBe(0);
		host.relaySilence = 5;
		expect(host.send()).toBe(1);
	});

	it('has the requests of peers, reservations and helper parts counted', () => {
		const host = new Harness();
		host.cold.assumeCold(createEngine());
		host.cold.countJob(host.createJob({host: 'h2', upstream: 'e9', helpers: ['e1']}));
		host.cold.countJob(host.createJob({host: 'h2', isHeld: true}));
		host.cold.countReservation(['e1']);
		const obstacle = host.cold.findObstacle(createEngine());
		expect(obstacle).toEqual({type: 'cold-start', wait: 800});
	});

	it('has the part that it prefills as a helper counted beside its reservation, of this host\'s jobs and of peers\'', () => {
		const host = new Harness();
		host.cold.assumeCold(createEngine());
		host.cold.countReservation(['e9', 'e1']);
		host.cold.countJob(host.createJob({upstream: 'e9', helpers: ['e1'], isHeld: true}));
		host.cold.countJob(host.createJob({
			host: 'h2', upstream: 'e9', helpers: ['e1'], isHeld: true,
		}));
		expect(host.cold.findObstacle(createEngine())).toEqual({type: 'cold-start', wait: 800});
	});

	it('has health checks counted once, those of this host and those that peers report', () => {
		const host = new Harness();
		host.cold.recordHealth(createEngine(), 3000, host.now);
		expect([host.lines[0]?.source, host.published]).toEqual(['health', [expect.objectContaining({check: {host: 'h1', at: host.now}})]]);
		const report = {...host.published[0]!, check: {host: 'h2', at: host.now}};
		host.cold.applyPeerReport('h2', report);
		host.cold.applyPeerReport('relay', {...report, check: {host: 'h2', at: host.now - 20}});
		host.cold.applyPeerReport('relay', host.published[0]!);
		const obstacle = host.cold.findObstacle(createEngine());
		// Two requests at 1.1 times the rate, less what may be ahead of the schedule.
		expect(obstacle?.type === 'cold-start' ? Math.round(obstacle.wait) : 0).toBe(305);
	});

	it('has no limit if none is configured', () => {
		const host = new Harness();
		host.rate = undefined;
		host.cold.assumeCold(createEngine());
		expect([host.send(), host.isCold, host.lines]).toEqual([100, false, []]);
	});

	it('isn\'t limited by a report about its former process', () => {
		const host = new Harness();
		host.cold.applyPeerReport('h2', {
			type: 'cold', upstream: 'e1', started: 500, until: host.now + 5000,
		});
		expect(host.isCold).toBe(false);
	});
});

describe('reports of cold engines', () => {
	it('are a field of load updates that earlier hosts ignore, beside the types of reports that they know', () => {
		const cold = [toWireCold({
			type: 'cold', upstream: 'e1', started: 7, until: 2500, check: {host: 'h1', at: 900},
		}, 1000)];
		const [message] = createMessageReader().push(encode({
			type: 'load', began: [], progressed: [], ended: [], cold,
		}));
		expect(message).toMatchObject({
			cold: [{
				upstream: 'e1', started: 7, remaining: 1500, check: {host: 'h1', age: 100},
			}],
		});
		expect(message).not.toHaveProperty('reports');
	});

	it('reach hosts that know other fields: a message with an unknown one is read without it', () => {
		const message = {
			type: 'load' as const, began: [], progressed: [], ended: [], later: [1],
		};
		expect(createMessageReader().push(encode(message))).toEqual([{
			type: 'load', began: [], progressed: [], ended: [],
		}]);
	});

	it.each([[-5, 1000], [1e12, 3_601_000]])('with a remaining time of %d are taken for the nearest that can be right', (remaining, until) => {
		expect(fromWireCold({upstream: 'e1', remaining}, 1000).until).toBe(until);
	});
});
