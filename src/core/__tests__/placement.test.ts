import {describe, expect, it} from 'vitest';
import {
	modelServiceSchema,
	type Effect,
	type Engine,
	type Order,
	type OrderNumber,
	type Report,
	type Target,
} from '../index.js';
import {orderers} from '../features/placement/queries.js';
import {isStopping} from '../features/stops/queries.js';
import {documentOf, epoch, Network} from './network.js';

const loadTime = 1000;

function targetOf(version: string): Target {
	return {
		model: 'm', version, adapters: [], role: 'mixed',
	};
}

function engineOf(id: string, version: string, fencing = true): Engine {
	return {
		kind: 'engine',
		id,
		failureDomain: 'a',
		address: {host: '127.0.0.1', port: 1},
		service: 's',
		memory: 1000,
		prefillRate: 1,
		decodeInterval: 1,
		batch: 1,
		fencing,
		target: targetOf(version),
	};
}

function documentWith(revision: number, engines: readonly Engine[], readyEngines = 1, loadsPerSecond?: number) {
	const wanted = modelServiceSchema.parse({
		kind: 'model', id: 's', model: 'm', deadline: {default: 1000, most: 1000}, idempotent: true, readyEngines,
	});
	return documentOf(revision, {
		services: [wanted],
		upstreams: engines,
		...(loadsPerSecond !== undefined && {weightStore: {address: {host: '127.0.0.1', port: 2}, loadsPerSecond}}),
	});
}

/** An engine that loads for a second and checks numbers if it is told to. */
class FakeEngine {
	highest: OrderNumber | undefined;
	current: Target | undefined;
	loading: {readonly target: Target; readonly until: number} | undefined;
	readonly loads: Array<{readonly at: number; readonly host: string; readonly target: Target}> = [];
	readonly fencing: boolean;

	constructor(fencing: boolean, current: Target | undefined) {
		this.fencing = fencing;
		this.current = current;
	}

	settle(now: number) {
		if (this.loading !== undefined && now >= this.loading.until) {
			this.current = this.loading.target;
			this.loading = undefined;
		}
	}

	take(order: Order, now: number): boolean {
		const {counter, host} = order.number;
		if (this.fencing) {
			if (this.highest !== undefined && (counter < this.highest.counter || (counter === this.highest.counter && host < this.highest.host))) {
				return false;
			}

			this.highest = order.number;
		}

		if (order.type === 'load') {
			this.loads.push({at: now, host, target: order.target});
			this.loading = {target: order.target, until: now + loadTime};
		}

		return true;
	}
}

function reportOf(upstream: string, engine: FakeEngine): Report {
	return {
		upstream,
		incarnation: '1',
		age: 0,
		ready: engine.current !== undefined && engine.loading === undefined,
		running: 0,
		waiting: 0,
		queuedPrefill: 0,
		usedMemory: 0,
		memory: 1000,
		current: engine.current,
		loading: engine.loading?.target,
		orderNumber: engine.highest,
	};
}

class Bench {
	readonly network = new Network();
	readonly engines = new Map<string, FakeEngine>();
	readonly hosts = ['a1', 'a2', 'a3'];
	/** Orders that hosts have sent and that have not arrived. */
	readonly held: Array<{readonly host: string; readonly effect: Extract<Effect, {readonly type: 'order'}>}> = [];
	holding: string | undefined;

	constructor(engines: Readonly<Record<string, FakeEngine>>) {
		for (const [id, engine] of Object.entries(engines)) {
			this.engines.set(id, engine);
		}

		for (const host of this.hosts) {
			this.network.add(host, 'a');
		}

		this.network.list(...this.hosts);
		this.network.outside = (host, effect) => {
			this.#execute(host, effect);
		};
	}

	run(milliseconds: number, holds: () => boolean = () => false): boolean {
		const end = this.network.now + milliseconds;
		while (this.network.now < end && !holds()) {
			this.network.run(50);
			for (const [id, engine] of this.engines) {
				engine.settle(this.network.now);
				this.#report(id, engine);
			}
		}

		return holds();
	}

	deliver(host: string, effect: Extract<Effect, {readonly type: 'order'}>): boolean {
		const engine = this.engines.get(effect.upstream)!;
		const accepted = engine.take(effect.order, this.network.now);
		this.network.later(host, {
			type: 'order-answered', upstream: effect.upstream, order: effect.order, accepted, seen: engine.highest,
		});
		return accepted;
	}

	isDone(version: string): boolean {
		return [...this.engines.values()].every(engine => engine.current?.version === version && engine.loading === undefined);
	}

	ready(): number {
		return [...this.engines.values()].filter(engine => engine.current !== undefined && engine.loading === undefined).length;
	}

	orderer(document: ReturnType<typeof documentWith>, id: string): string {
		const engine = document.upstreams.find(each => each.id === id);
		return engine?.kind === 'engine' ? orderers(this.network.state(this.hosts[0]!))(engine)! : '';
	}

	#execute(host: string, effect: Effect) {
		if (effect.type === 'order') {
			if (this.holding === host) {
				this.held.push({host, effect});
			} else {
				this.deliver(host, effect);
			}
		} else if (effect.type === 'read-orders') {
			const engine = this.engines.get(effect.upstream)!;
			this.network.later(host, {
				type: 'orders-read', upstream: effect.upstream, known: true, highest: engine.highest, current: engine.current, loading: engine.loading?.target,
			});
		}
	}

	/** Reports lag: they are delivered within the next ticks. */
	#report(id: string, engine: FakeEngine) {
		if (this.network.now % 250 === 0) {
			for (const host of this.network.nodes.keys()) {
				this.network.later(host, {
					type: 'report-received', report: reportOf(id, engine),
				});
			}
		}
	}
}

function fakes(count: number, current: Target | undefined, fencing = true): Readonly<Record<string, FakeEngine>> {
	return Object.fromEntries(Array.from({length: count}, (_, index) => [`e${index}`, new FakeEngine(fencing, current)]));
}

function enginesOf(bench: Bench, version: string): readonly Engine[] {
	return [...bench.engines].map(([id, {fencing}]) => engineOf(id, version, fencing));
}

describe('placement', () => {
	it('loads each empty engine once, through one orderer', () => {
		const bench = new Bench(fakes(8, undefined));
		bench.network.publish(documentWith(1, enginesOf(bench, 'v1')), ...bench.hosts);
		expect(bench.run(20_000, () => bench.isDone('v1'))).toBe(true);
		expect([...bench.engines.values()].map(engine => engine.loads.length)).toEqual(Array.from({length: 8}, () => 1));
		expect(new Set([...bench.engines.values()].map(engine => engine.loads[0]!.host)).size).toBeGreaterThan(1);
	});

	it('keeps enough engines ready while the version changes, and takes no new work to those that change', () => {
		const bench = new Bench(fakes(6, targetOf('v1')));
		bench.network.publish(documentWith(1, enginesOf(bench, 'v1'), 5), ...bench.hosts);
		bench.run(6000);
		bench.network.publish(documentWith(2, enginesOf(bench, 'v2'), 5), 'a2');
		let least = 6;
		let isMarked = true;
		bench.run(60_000, () => {
			least = Math.min(least, bench.ready());
			for (const [id, engine] of bench.engines) {
				const fresh = engine.loads.find(load => load.at === bench.network.now);
				isMarked &&= fresh === undefined || isStopping(bench.network.state(fresh.host), id);
			}

			return bench.isDone('v2');
		});
		expect(bench.isDone('v2')).toBe(true);
		expect(least).toBe(5);
		expect(isMarked).toBe(true);
	});

	it('changes nothing when an engine too many must stay ready', () => {
		const bench = new Bench(fakes(3, targetOf('v1')));
		bench.network.publish(documentWith(1, enginesOf(bench, 'v2'), 3), ...bench.hosts);
		bench.run(15_000);
		expect([...bench.engines.values()].flatMap(engine => engine.loads)).toEqual([]);
	});

	it.each([[2], [4]])('stays within %i loads a second of the weight store', loadsPerSecond => {
		const bench = new Bench(fakes(12, undefined));
		bench.network.publish(documentWith(1, enginesOf(bench, 'v1'), 1, loadsPerSecond), ...bench.hosts);
		expect(bench.run(120_000, () => bench.isDone('v1'))).toBe(true);
		const times = [...bench.engines.values()].flatMap(engine => engine.loads.map(load => load.at)).toSorted((a, b) => a - b);
		for (const [index, time] of times.entries()) {
			const within = times.slice(index).filter(each => each < time + 5000).length;
			expect(within).toBeLessThanOrEqual((loadsPerSecond * 5 / 3) + 3);
		}
	});

	it.each([true, false])('refuses or repairs the order of a host that was paused before it arrived (numbers checked: %s)', fencing => {
		const bench = new Bench(fakes(1, targetOf('v0'), fencing));
		const first = documentWith(1, [engineOf('e0', 'v0', fencing)], 0);
		bench.network.publish(first, ...bench.hosts);
		bench.run(8000);
		const paused = bench.orderer(first, 'e0');
		const others = bench.hosts.filter(host => host !== paused);
		bench.holding = paused;
		bench.network.publish(documentWith(2, [engineOf('e0', 'v1', fencing)], 0), ...bench.hosts);
		expect(bench.run(10_000, () => bench.held.some(({effect}) => effect.order.type === 'load'))).toBe(true);
		const late = bench.held.find(({effect}) => effect.order.type === 'load')!;
		bench.network.pause(paused);
		bench.network.publish(documentWith(3, [engineOf('e0', 'v2', fencing)], 0), ...others);
		expect(bench.run(30_000, () => bench.isDone('v2'))).toBe(true);
		expect(bench.deliver(paused, late.effect)).toBe(!fencing);
		bench.holding = undefined;
		bench.network.wake(paused, 30_000);
		const loads = bench.engines.get('e0')!.loads.length;
		expect(bench.run(5000, () => bench.isDone('v2') && bench.engines.get('e0')!.loading === undefined)).toBe(true);
		bench.run(20_000);
		expect(bench.isDone('v2')).toBe(true);
		expect(bench.engines.get('e0')!.loads.length - loads).toBe(fencing ? 0 : 1);
	});

	it('seals at a takeover, though there is nothing to order', () => {
		const bench = new Bench(fakes(1, targetOf('v1')));
		const document = documentWith(1, enginesOf(bench, 'v1'), 0);
		bench.network.publish(document, ...bench.hosts);
		bench.run(8000);
		const engine = bench.engines.get('e0')!;
		const before = engine.highest!;
		const orderer = bench.orderer(document, 'e0');
		bench.network.remove(orderer);
		bench.run(8000);
		expect(engine.highest!.counter).toBeGreaterThan(before.counter);
		expect(engine.take({type: 'load', number: {counter: before.counter, host: 'z'}, target: targetOf('v0')}, 0)).toBe(false);
	});
});

describe('planned stops', () => {
	it('stop upstreams of a service and domain one after another, alike on all hosts', () => {
		const bench = new Bench(fakes(3, targetOf('v1')));
		const document = {
			...documentWith(1, enginesOf(bench, 'v1'), 0),
			plannedStops: ['e2', 'e0'].map((id, index) => ({
				id: `s${index}`, target: {kind: 'upstream', id}, notBefore: epoch + 5000, grace: 4000,
			} as const)),
		};
		bench.network.publish(document, ...bench.hosts);
		const seen: string[] = [];
		const stoppingAt = (host: string) => [...bench.engines.keys()].filter(id => isStopping(bench.network.state(host), id)).join(',');
		bench.run(20_000, () => {
			const stopping = bench.hosts.map(host => stoppingAt(host));
			if (new Set(stopping).size === 1 && seen.at(-1) !== stopping[0]) {
				seen.push(stopping[0]!);
			}

			return false;
		});
		expect(seen).toEqual(['', 'e2', 'e0', '']);
	});

	it('stop hosts of a domain one after another, each once the one before is back', () => {
		const network = new Network();
		const hosts = ['a1', 'a2', 'a3', 'b1'];
		for (const host of hosts) {
			network.add(host, host[0]!);
		}

		network.list(...hosts);
		const document = documentOf(1, {
			plannedStops: hosts.map(id => ({
				id: `stop ${id}`, target: {kind: 'host', id}, notBefore: epoch + 6000, grace: 3000,
			} as const)),
		});
		network.publish(document, ...hosts);
		network.run(6000);
		const order: string[] = [];
		let most = 0;
		network.run(60_000, () => {
			const leaving = hosts.filter(host => network.nodes.get(host)?.state.membership.phase === 'leaving');
			most = Math.max(most, leaving.filter(host => host.startsWith('a')).length);
			for (const host of hosts) {
				if (!network.nodes.has(host)) {
					order.push(host);
					network.add(host, host[0]!);
					network.list(...hosts);
					network.publish(document, host);
				}
			}

			return order.length >= 4;
		});
		network.run(20_000);
		expect(most).toBe(1);
		expect(order.filter(host => host !== 'b1')).toEqual(['a1', 'a2', 'a3']);
		expect(hosts.every(host => network.state(host).membership.phase === 'serving')).toBe(true);
	});
});
