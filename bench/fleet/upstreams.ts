/** The upstreams of a fleet: one engine process for each failure domain, and plain services within this process. */
import got from 'got';
import {z} from 'zod';
import {type Address} from '../../src/core/index.js';
import {
	countersSchema, executionsSchema, type Counters, type Executions,
} from '../../stand-ins/engine/executions.js';
import {type Fault as EngineFault} from '../../stand-ins/engine/faults.js';
import {
	PlainService, settingsSchema as plainServiceSettings, type Counts,
} from '../../stand-ins/plain/service.js';
import {type Fault as PlainFault} from '../../stand-ins/plain/faults.js';
import {Child} from './child.js';
import {listEngines, findModel, listPlainServices} from './document.js';
import {type FleetShape} from './shape.js';

const addressSchema = z.object({host: z.string(), port: z.number()});
const readyLineSchema = z.object({
	control: addressSchema,
	engines: z.array(addressSchema.extend({id: z.string()})),
});
const executionsAnswerSchema = z.object({engines: z.array(executionsSchema)});

const countersAnswerSchema = z.object({engines: z.array(z.object({engine: z.string(), counters: countersSchema}))});

type EngineGroup = {
	readonly domain: string;
	readonly child: Child;
	readonly control: Address;
	readonly engines: ReadonlyMap<string, Address>;
};

async function startEngines(shape: FleetShape, domain: string, weightStore: Address | undefined): Promise<EngineGroup | undefined> {
	const plannedEngines = listEngines(shape).filter(each => each.domain === domain);
	if (plannedEngines.length === 0) {
		return undefined;
	}

	const child = await Child.start({
		name: `engines-${domain}`,
		program: 'stand-ins/engine/main.js',
		readyEvent: 'ready',
		keepsLog: false,
		settings: JSON.stringify({
			timeScale: shape.timeScale,
			seed: shape.seed,
			weightStore,
			engines: plannedEngines.map(({id, service, group}) => ({
				...group.settings, id, target: {model: findModel(shape, service), version: group.version},
			})),
		}),
	});
	const {control, engines} = readyLineSchema.parse(child.readyLine);
	return {
		domain, child, control, engines: new Map(engines.map(({id, host, port}) => [id, {host, port}])),
	};
}

async function startPlainServices(shape: FleetShape): Promise<ReadonlyMap<string, PlainService>> {
	const services = new Map<string, PlainService>();
	for (const {id, duration} of listPlainServices(shape)) {
		services.set(id, await PlainService.start(plainServiceSettings.parse({id, duration})));
	}

	return services;
}

export class Upstreams implements AsyncDisposable {
	/**
	 * Starts the upstreams of a fleet and waits until they listen.
	 *
	 * @param weightStore - Address that engines load weights from, if the fleet has a weight store.
	 */
	static async start(shape: FleetShape, weightStore: Address | undefined): Promise<Upstreams> {
		const groups = await Promise.all(shape.domains.map(async domain => startEngines(shape, domain, weightStore)));
		return new Upstreams(groups.filter(each => each !== undefined), await startPlainServices(shape));
	}

	readonly #groups: readonly EngineGroup[];
	readonly #plainServices: ReadonlyMap<string, PlainService>;

	private constructor(groups: readonly EngineGroup[], plainServices: ReadonlyMap<string, PlainService>) {
		this.#groups = groups;
		this.#plainServices = plainServices;
	}

	/** Direct addresses by upstream id, not through the fault proxy. */
	get addresses(): ReadonlyMap<string, Address> {
		return new Map([
			...this.#groups.flatMap(group => [...group.engines]),
			...[...this.#plainServices].map(([id, service]) => [id, service.addresses.address] as const),
		]);
	}

	/** The engine processes. */
	get children(): readonly Child[] {
		return this.#groups.map(group => group.child);
	}

	/** Switches a fault on or off at an engine. */
	async applyEngineFault(engine: string, fault: EngineFault): Promise<void> {
		const group = this.#groups.find(each => each.engines.has(engine));
		if (group === undefined) {
			throw new TypeError(`no engine ${engine}`);
		}

		await got.post(`http://${group.control.host}:${group.control.port}/control`, {json: {engine, fault}});
	}

	/** Switches a fault on or off at every engine. */
	async applyFaultToAllEngines(fault: EngineFault): Promise<void> {
		await Promise.all(this.#groups.flatMap(group => [...group.engines.keys()].map(async id => this.applyEngineFault(id, fault))));
	}

	/** Fetches what every engine executed. */
	async fetchExecutions(): Promise<readonly Executions[]> {
		const answers = await Promise.all(this.#groups.map(async ({control}) =>
			executionsAnswerSchema.parse(await got(`http://${control.host}:${control.port}/control/executions`).json())));
		return answers.flatMap(answer => answer.engines);
	}

	/** Fetches the counters of every engine, by engine id. */
	async fetchCounters(): Promise<ReadonlyMap<string, Counters>> {
		const answers = await Promise.all(this.#groups.map(async ({control}) =>
			countersAnswerSchema.parse(await got(`http://${control.host}:${control.port}/control/counters`).json())));
		return new Map(answers.flatMap(answer => answer.engines.map(({engine, counters}) => [engine, counters] as const)));
	}

	/** Switches a fault on or off at a plain service, given its upstream id. */
	async applyPlainServiceFault(service: string, fault: PlainFault): Promise<void> {
		const address = this.#plainServices.get(service)?.addresses.control;
		if (address === undefined) {
			throw new TypeError(`no plain service ${service}`);
		}

		await got.post(`http://${address.host}:${address.port}/control`, {json: fault});
	}

	/** What every plain service executed. */
	get plainServiceCounts(): readonly Counts[] {
		return [...this.#plainServices.values()].map(each => each.counts);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await Promise.all([...this.#plainServices.values(), ...this.children].map(async each => each[Symbol.asyncDispose]()));
	}
}
