/** Engines in processes of their own, whose only fault is that signals stop and continue them. Times are monotonic milliseconds. */
import {type Run} from '../../stand-ins/gateway/ledger.js';
import {engineConfiguration, engineModel, routes} from '../gateway/configuration.js';
import {EngineProcess} from '../gateway/engine-process.js';
import {type Site} from '../gateway/site.js';
import {isPausableKind, type RequestRecord} from './guarantees.js';

/** Number of these engines. */
export const pausableCount = 4;

/** Failure domains over which they are spread; no order evacuates these. */
const failureDomains = ['c', 'd'] as const;

const serviceName = 'pausable';

/** The service of these engines, as in the configuration. */
export const pausableService = {
	Name: serviceName, HealthPath: '/healthz', MaxConnections: 100, Engine: engineConfiguration,
};

/** Its routes: streams that may be resumed at another engine, and streams that may not. */
export const pausableRoutes = ['pausable', 'unresumed'].map(name => ({
	...routes[0], Name: name, Prefix: `/${name}/`, Service: serviceName, StreamResume: name === 'pausable',
}));

/** Time after a pause within which an engine runs what has arrived meanwhile. */
const arrivalMs = 300;

type Period = {
	readonly from: number;
	readonly to: number;
};

/** A period in which an engine was stopped. */
export type EnginePause = Period & {readonly engine: number};

export class PausableEngines implements AsyncDisposable {
	/**
	 * @param site - Site whose store gets their registrations and whose ledger their runs.
	 * @returns Registered engines.
	 */
	static async start(site: Site): Promise<PausableEngines> {
		const started = new PausableEngines();
		for (let index = 0; index < pausableCount; index++) {
			const failureDomain = failureDomains[index % failureDomains.length]!;
			const engine = await EngineProcess.start({
				id: `pausable-${index}`, service: serviceName, failureDomain, slots: 8, model: engineModel,
			}, site.ledger);
			started.#engines.push(engine);
			site.store.put(`servers/${engine.id}`, engine.registration);
		}

		return started;
	}

	readonly pauses: EnginePause[] = [];
	readonly #engines: EngineProcess[] = [];

	/** A description of each engine whose process has ended, which no fault does. */
	get ended(): readonly string[] {
		return this.#engines.flatMap(({id, ending}) => ending === undefined ? [] : [`the process of ${id} has ended: ${ending}`]);
	}

	/**
	 * Stops engines and continues them; leaves out those that are stopped already.
	 *
	 * @param engines - Indices.
	 * @param length - Milliseconds.
	 */
	async pause(engines: readonly number[], length: number): Promise<void> {
		await Promise.all(engines.filter(index => !this.#engines[index]!.isPaused).map(async engine => {
			const from = performance.now();
			await this.#engines[engine]!.pause(length);
			this.pauses.push({engine, from, to: performance.now()});
		}));
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await Promise.all(this.#engines.map(async engine => engine[Symbol.asyncDispose]()));
	}
}

/**
 * @param pauses - Pauses of engines.
 * @param count - Number of engines.
 * @returns When all of them were paused.
 */
export function findCommonPauses(pauses: readonly EnginePause[], count: number): readonly Period[] {
	return pauses.flatMap(({from}) => {
		const paused = pauses.filter(pause => pause.from <= from && from < pause.to);
		return new Set(paused.map(({engine}) => engine)).size === count ? [{from, to: Math.min(...paused.map(({to}) => to))}] : [];
	});
}

/** What became of the requests to these engines. */
export type PausableCounts = {
	readonly requests: number;
	/** Answers that began. */
	readonly begun: number;
	readonly whole: number;
	/** Requests during which all engines were paused, and those of them that were run again then. */
	readonly commonlyPaused: number;
	readonly repeated: number;
};

/**
 * @param requests - All requests.
 * @param runsOf - Returns the executions of a request at upstreams.
 * @param pauses - Pauses of engines.
 * @returns Counts for the report.
 */
export function countPausable(requests: readonly RequestRecord[], runsOf: (id: string) => readonly Run[], pauses: readonly EnginePause[]): PausableCounts {
	const counted = requests.filter(({kind}) => isPausableKind(kind));
	const begun = counted.filter(({result}) => result.type === 'answered' && result.answer.status === 200);
	const common = findCommonPauses(pauses, pausableCount);
	const paused = counted.filter(({began, ended}) => common.some(({from, to}) => from < ended && began < to));
	return {
		requests: counted.length,
		begun: begun.length,
		whole: begun.filter(({expected, result}) => result.type === 'answered' && result.answer.isWhole && result.received === expected).length,
		commonlyPaused: paused.length,
		repeated: paused.filter(({id}) => runsOf(id).slice(1).some(({at}) => common.some(({from, to}) => from < at && at < to + arrivalMs))).length,
	};
}
