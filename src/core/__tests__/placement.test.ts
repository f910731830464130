import {describe, expect, it} from 'vitest';
import {
	modelServiceSchema,
	type Effect,
	type Engine,
	type Order,
	type OrderNumber,
	type LoadReport,
	type Target,
} from '../index.js';
import {createControllerLookup} from '../features/placement/queries.js';
import {isStopping} from '../features/stops/queries.js';
import {createDocument, SimulatedNetwork, startWallTimeMs} from './network.js';

const loadTimeMs = 1000;

function createTarget(version: string): Target {
	return {
		model: 'm', version, adapters: [], role: 'mixed',
	};
}

function createEngine(id: string, version: string, fencing = true): Engine {
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
		target: createTarget(version),
	};
}

function createPlacementDocument(revision: number, engines: readonly Engine[], readyEngines = 1, loadsPerSecond?: number) {
	const service = modelServiceSchema.parse({
		kind: 'model', id: 's', model: 'm', deadline: {default: 1000, most: 1000}, idempotent: true, readyEngines,
	});
	return createDocument(revision, {
		services: [service],
		upstreams: engines,
		...(loadsPerSecond !== undefined && {weightStore: {address: {host: '127.0.0.1', port: 2}, loadsPerSecond}}),
	});
}

/** Engine that takes a second to load a target, and refuses orders with outdated fencing numbers if `fencing` is set. */
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

	finishLoading(now: number) {
		if (this.loading !== undefined && now >= this.loading.until) {
			this.current = this.loading.target;
			this.loading = undefined;
		}
	}

	handleOrder(order: Order, now: number): boolean {
		const {counter, host} = order.number;
		if (this.fencing) {
			if (this.highest !== undefined && (counter < this.highest.counter || (counter === this.highest.counter && host < this.highest.host))) {
				return false;
			}

			this.highest = order.number;
		}

		if (order.type === 'load') {
			this.loads.push({at: now, host, target: order.target});
			this.loading = {target: order.target, until: now + loadTimeMs};
		}

		return true;
	}
}

function createReport(upstream: string, engine: FakeEngine): LoadReport {
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

class PlacementSimulation {
	readonly network = new SimulatedNetwork();
	readonly engines = new Map<string, FakeEngine>();
	readonly hosts = ['a1', 'a2', 'a3'];
	/** Orders sent by the delayed host that have not arrived. */
	readonly delayedOrders: Array<{readonly host: string; readonly effect: Extract<Effect, {readonly type: 'order'}>}> = [];
	delayedHost: string | undefined;

	constructor(engines: Readonly<Record<string, FakeEngine>>) {
		for (const [id, engine] of Object.entries(engines)) {
			this.engines.set(id, engine);
		}

		for (const host of this.hosts) {
			this.network.addHost(host, 'a');
		}

		this.network.sendHostList(...this.hosts);
		this.network.handleEffect = (host, effect) => {
			this.#handleEffect(host, effect);
		};
	}

	run(milliseconds: number, isReached: () => boolean = () => false): boolean {
		const end = this.network.now + milliseconds;
		while (this.network.now < end && !isReached()) {
			this.network.run(50);
			for (const [id, engine] of this.engines) {
				engine.finishLoading(this.network.now);
				this.#sendReports(id, engine);
			}
		}

		return isReached();
	}

	deliverOrder(host: string, effect: Extract<Effect, {readonly type: 'order'}>): boolean {
		const engine = this.engines.get(effect.upstream)!;
		const accepted = engine.handleOrder(effect.order, this.network.now);
		this.network.dispatchLater(host, {
			type: 'order-answered', upstream: effect.upstream, order: effect.order, accepted, seen: engine.highest,
		});
		return accepted;
	}

	isDeployed(version: string): boolean {
		return [...this.engines.values()].every(engine => engine.current?.version === version && engine.loading === undefined);
	}

	countReadyEngines(): number {
		return [...this.engines.values()].filter(engine => engine.current !== undefined && engine.loading === undefined).length;
	}

	findController(document: ReturnType<typeof createPlacementDocument>, id: string): string {
		const engine = document.upstreams.find(each => each.id === id);
		return engine?.kind === 'engine' ? createControllerLookup(this.network.state(this.hosts[0]!))(engine)! : '';
	}

	#handleEffect(host: string, effect: Effect) {
		if (effect.type === 'order') {
			if (this.delayedHost === host) {
				this.delayedOrders.push({host, effect});
			} else {
				this.deliverOrder(host, effect);
			}
		} else if (effect.type === 'read-orders') {
			const engine = this.engines.get(effect.upstream)!;
			this.network.dispatchLater(host, {
				type: 'orders-read', upstream: effect.upstream, known: true, highest: engine.highest, current: engine.current, loading: engine.loading?.target,
			});
		}
	}

	/** Sends reports, which arrive with a delay of some ticks. */
	#sendReports(id: string, engine: FakeEngine) {
		if (this.network.now % 250 === 0) {
			for (const host of this.network.nodes.keys()) {
				this.network.dispatchLater(host, {
					type: 'report-received', report: createReport(id, engine),
				});
			}
		}
	}
}

function createFakeEngines(count: number, current: Target | undefined, fencing = true): Readonly<Record<string, FakeEngine>> {
	return Object.fromEntries(Array.from({length: count}, (_, index) => [`e${index}`, new FakeEngine(fencing, current)]));
}

function engineConfigurations(simulation: PlacementSimulation, version: string): readonly Engine[] {
	return [...simulation.engines].map(([id, {fencing}]) => createEngine(id, version, fencing));
}

describe('placement', () => {
	it('loads each empty engine once, through one controller', () => {
		const simulation = new PlacementSimulation(createFakeEngines(8, undefined));
		simulation.network.publishConfiguration(createPlacementDocument(1, engineConfigurations(simulation, 'v1')), ...simulation.hosts);
		expect(simulation.run(20_000, () => simulation.isDeployed('v1'))).toBe(true);
		expect([...simulation.engines.values()].map(engine => engine.loads.length)).toEqual(Array.from({length: 8}, () => 1));
		expect(new Set([...simulation.engines.values()].map(engine => engine.loads[0]!.host)).size).toBeGreaterThan(1);
	});

	it('keeps enough engines ready while the version changes, and sends no new work to engines that change', () => {
		const simulation = new PlacementSimulation(createFakeEngines(6, createTarget('v1')));
		simulation.network.publishConfiguration(createPlacementDocument(1, engineConfigurations(simulation, 'v1'), 5), ...simulation.hosts);
		simulation.run(6000);
		simulation.network.publishConfiguration(createPlacementDocument(2, engineConfigurations(simulation, 'v2'), 5), 'a2');
		let least = 6;
		let isMarked = true;
		simulation.run(60_000, () => {
			least = Math.min(least, simulation.countReadyEngines());
			for (const [id, engine] of simulation.engines) {
				const fresh = engine.loads.find(load => load.at === simulation.network.now);
				isMarked &&= fresh === undefined || isStopping(simulation.network.state(fresh.host), id);
			}

			return simulation.isDeployed('v2');
		});
		expect(simulation.isDeployed('v2')).toBe(true);
		expect(least).toBe(5);
		expect(isMarked).toBe(true);
	});

	it('changes nothing when all engines must stay ready', () => {
		const simulation = new PlacementSimulation(createFakeEngines(3, createTarget('v1')));
		simulation.network.publishConfiguration(createPlacementDocument(1, engineConfigurations(simulation, 'v2'), 3), ...simulation.hosts);
		simulation.run(15_000);
		expect([...simulation.engines.values()].flatMap(engine => engine.loads)).toEqual([]);
	});

	it.each([[2], [4]])('stays within the weight store\'s limit of %i loads per second', loadsPerSecond => {
		const simulation = new PlacementSimulation(createFakeEngines(12, undefined));
		simulation.network.publishConfiguration(createPlacementDocument(1, engineConfigurations(simulation, 'v1'), 1, loadsPerSecond), ...simulation.hosts);
		expect(simulation.run(120_000, () => simulation.isDeployed('v1'))).toBe(true);
		const times = [...simulation.engines.values()].flatMap(engine => engine.loads.map(load => load.at)).toSorted((a, b) => a - b);
		for (const [index, time] of times.entries()) {
			const within = times.slice(index).filter(each => each < time + 5000).length;
			expect(within).toBeLessThanOrEqual((loadsPerSecond * 5 / 3) + 3);
		}
	});

	it.each([true, false])('refuses or corrects an order that arrives after its sender was paused and replaced (fencing: %s)', fencing => {
		const simulation = new PlacementSimulation(createFakeEngines(1, createTarget('v0'), fencing));
		const first = createPlacementDocument(1, [createEngine('e0', 'v0', fencing)], 0);
		simulation.network.publishConfiguration(first, ...simulation.hosts);
		simulation.run(8000);
		const paused = simulation.findController(first, 'e0');
		const others = simulation.hosts.filter(host => host !== paused);
		simulation.delayedHost = paused;
		simulation.network.publishConfiguration(createPlacementDocument(2, [createEngine('e0', 'v1', fencing)], 0), ...simulation.hosts);
		expect(simulation.run(10_000, () => simulation.delayedOrders.some(({effect}) => effect.order.type === 'load'))).toBe(true);
		const late = simulation.delayedOrders.find(({effect}) => effect.order.type === 'load')!;
		simulation.network.pause(paused);
		simulation.network.publishConfiguration(createPlacementDocument(3, [createEngine('e0', 'v2', fencing)], 0), ...others);
		expect(simulation.run(30_000, () => simulation.isDeployed('v2'))).toBe(true);
		expect(simulation.deliverOrder(paused, late.effect)).toBe(!fencing);
		simulation.delayedHost = undefined;
		simulation.network.resume(paused, 30_000);
		const loads = simulation.engines.get('e0')!.loads.length;
		expect(simulation.run(5000, () => simulation.isDeployed('v2') && simulation.engines.get('e0')!.loading === undefined)).toBe(true);
		simulation.run(20_000);
		expect(simulation.isDeployed('v2')).toBe(true);
		expect(simulation.engines.get('e0')!.loads.length - loads).toBe(fencing ? 0 : 1);
	});

	it('seals the engine when another host takes over its orders, even without a target change', () => {
		const simulation = new PlacementSimulation(createFakeEngines(1, createTarget('v1')));
		const document = createPlacementDocument(1, engineConfigurations(simulation, 'v1'), 0);
		simulation.network.publishConfiguration(document, ...simulation.hosts);
		simulation.run(8000);
		const engine = simulation.engines.get('e0')!;
		const before = engine.highest!;
		const controller = simulation.findController(document, 'e0');
		simulation.network.removeHost(controller);
		simulation.run(8000);
		expect(engine.highest!.counter).toBeGreaterThan(before.counter);
		expect(engine.handleOrder({type: 'load', number: {counter: before.counter, host: 'z'}, target: createTarget('v0')}, 0)).toBe(false);
	});
});

describe('planned stops', () => {
	it('stop upstreams of a service and failure domain one after another, in the same order on all hosts', () => {
		const simulation = new PlacementSimulation(createFakeEngines(3, createTarget('v1')));
		const document = {
			...createPlacementDocument(1, engineConfigurations(simulation, 'v1'), 0),
			plannedStops: ['e2', 'e0'].map((id, index) => ({
				id: `s${index}`, target: {kind: 'upstream', id}, notBefore: startWallTimeMs + 5000, grace: 4000,
			} as const)),
		};
		simulation.network.publishConfiguration(document, ...simulation.hosts);
		const seen: string[] = [];
		const stoppingAt = (host: string) => [...simulation.engines.keys()].filter(id => isStopping(simulation.network.state(host), id)).join(',');
		simulation.run(20_000, () => {
			const stopping = simulation.hosts.map(host => stoppingAt(host));
			if (new Set(stopping).size === 1 && seen.at(-1) !== stopping[0]) {
				seen.push(stopping[0]!);
			}

			return false;
		});
		expect(seen).toEqual(['', 'e2', 'e0', '']);
	});

	it('stop hosts of a failure domain one after another, each once the previous one serves again', () => {
		const network = new SimulatedNetwork();
		const hosts = ['a1', 'a2', 'a3', 'b1'];
		for (const host of hosts) {
			network.addHost(host, host[0]!);
		}

		network.sendHostList(...hosts);
		const document = createDocument(1, {
			plannedStops: hosts.map(id => ({
				id: `stop ${id}`, target: {kind: 'host', id}, notBefore: startWallTimeMs + 6000, grace: 3000,
			} as const)),
		});
		network.publishConfiguration(document, ...hosts);
		network.run(6000);
		const order: string[] = [];
		let most = 0;
		network.run(60_000, () => {
			const leaving = hosts.filter(host => network.nodes.get(host)?.state.membership.phase === 'leaving');
			most = Math.max(most, leaving.filter(host => host.startsWith('a')).length);
			for (const host of hosts) {
				if (!network.nodes.has(host)) {
					order.push(host);
					network.addHost(host, host[0]!);
					network.sendHostList(...hosts);
					network.publishConfiguration(document, host);
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
