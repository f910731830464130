/** The upstreams of a fleet: engine processes, one for each failure domain, and plain services in this process. */
import got from 'got';
import {z} from 'zod';
import {type Address} from '../../src/core/index.js';
import {
	countersSchema, executionsSchema, type Counters, type Executions,
} from '../../stand-ins/engine/executions.js';
import {type Fault as EngineFault} from '../../stand-ins/engine/faults.js';
import {
	PlainService, settingsSchema as plainSettings, type Counts,
} from '../../stand-ins/plain/service.js';
import {type Fault as PlainFault} from '../../stand-ins/plain/faults.js';
import {Child} from './child.js';
import {enginesOf, modelOf, plainsOf} from './document.js';
import {type Shape} from './shape.js';

const addressSchema = z.object({host: z.string(), port: z.number()});
const readySchema = z.object({
	control: addressSchema,
	engines: z.array(addressSchema.extend({id: z.string()})),
});
const allExecutionsSchema = z.object({engines: z.array(executionsSchema)});

const allCountersSchema = z.object({engines: z.array(z.object({engine: z.string(), counters: countersSchema}))});

type EngineGroup = {
	readonly domain: string;
	readonly child: Child;
	readonly control: Address;
	readonly engines: ReadonlyMap<string, Address>;
};

async function startEngines(shape: Shape, domain: string, weightStore: Address | undefined): Promise<EngineGroup | undefined> {
	const members = enginesOf(shape).filter(each => each.domain === domain);
	if (members.length === 0) {
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
			engines: members.map(({id, service, group}) => ({
				...group.settings, id, target: {model: modelOf(shape, service), version: group.version},
			})),
		}),
	});
	const {control, engines} = readySchema.parse(child.ready);
	return {
		domain, child, control, engines: new Map(engines.map(({id, host, port}) => [id, {host, port}])),
	};
}

async function startPlains(shape: Shape): Promise<ReadonlyMap<string, PlainService>> {
	const services = new Map<string, PlainService>();
	for (const {id, duration} of plainsOf(shape)) {
		services.set(id, await PlainService.start(plainSettings.parse({id, duration})));
	}

	return services;
}

export class Upstreams implements AsyncDisposable {
	/**
	 * @param shape - Fleet.
	 * @param weightStore - Where engines load weights.
	 * @returns Its upstreams, listening.
	 */
	static async start(shape: Shape, weightStore: Address | undefined): Promise<Upstreams> {
		const groups = await Promise.all(shape.domains.map(async domain => startEngines(shape, domain, weightStore)));
		return new Upstreams(groups.filter(each => each !== undefined), await startPlains(shape));
	}

	readonly #groups: readonly EngineGroup[];
	readonly #plains: ReadonlyMap<string, PlainService>;

	private constructor(groups: readonly EngineGroup[], plains: ReadonlyMap<string, PlainService>) {
		this.#groups = groups;
		this.#plains = plains;
	}

	/** Real addresses by upstream id. */
	get addresses(): ReadonlyMap<string, Address> {
		return new Map([
			...this.#groups.flatMap(group => [...group.engines]),
			...[...this.#plains].map(([id, service]) => [id, service.addresses.address] as const),
		]);
	}

	/** Processes with engines. */
	get children(): readonly Child[] {
		return this.#groups.map(group => group.child);
	}

	/**
	 * @param engine - Engine id.
	 * @param fault - Fault to switch on or off.
	 */
	async faultEngine(engine: string, fault: EngineFault): Promise<void> {
		const group = this.#groups.find(each => each.engines.has(engine));
		if (group === undefined) {
			throw new TypeError(`no engine ${engine}`);
		}

		await got.post(`http://${group.control.host}:${group.control.port}/control`, {json: {engine, fault}});
	}

	/**
	 * @param fault - Fault to switch on or off at every engine.
	 */
	async faultEngines(fault: EngineFault): Promise<void> {
		await Promise.all(this.#groups.flatMap(group => [...group.engines.keys()].map(async id => this.faultEngine(id, fault))));
	}

	/** What every engine ran. */
	async executions(): Promise<readonly Executions[]> {
		const answers = await Promise.all(this.#groups.map(async ({control}) =>
			allExecutionsSchema.parse(await got(`http://${control.host}:${control.port}/control/executions`).json())));
		return answers.flatMap(answer => answer.engines);
	}

	/** Counters of every engine, by engine id. */
	async counters(): Promise<ReadonlyMap<string, Counters>> {
		const answers = await Promise.all(this.#groups.map(async ({control}) =>
			allCountersSchema.parse(await got(`http://${control.host}:${control.port}/control/counters`).json())));
		return new Map(answers.flatMap(answer => answer.engines.map(({engine, counters}) => [engine, counters] as const)));
	}

	/**
	 * @param service - Upstream id of a plain service.
	 * @param fault - Fault to switch on or off.
	 */
	async faultPlain(service: string, fault: PlainFault): Promise<void> {
		const address = this.#plains.get(service)?.addresses.control;
		if (address === undefined) {
			throw new TypeError(`no plain service ${service}`);
		}

		await got.post(`http://${address.host}:${address.port}/control`, {json: fault});
	}

	/** What every plain service executed. */
	get plainCounts(): readonly Counts[] {
		return [...this.#plains.values()].map(each => each.counts);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await Promise.all([...this.#plains.values(), ...this.children].map(async each => each[Symbol.asyncDispose]()));
	}
}
