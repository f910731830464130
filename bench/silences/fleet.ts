/** Hosts, engines and callers of a run on one virtual clock. */
import {SeededRandom} from '../fuzz/random.js';
import {ModelEngine, type EngineRun} from './engines.js';
import {ModelHost, type CallerAnswer} from './host.js';
import {failureDomains, type Change, type Situation} from './situation.js';

/** Time in milliseconds after which a draining engine may stop, and between two looks at whether it is idle. */
const drainMs = 2000;
const idleCheckMs = 100;

/** Shortest and longest prompt in tokens. */
const promptTokens = {least: 200, most: 4000};

const minEvents = 10;

/** Engines that a request may be sent to until the configuration changes. */
const initialMaxAttempts = 2;

export type FleetOptions = {
	readonly situation: Situation;
	readonly seed: number;
	/** Virtual time in milliseconds. */
	readonly now: () => number;
};

export class ModelFleet implements AsyncDisposable {
	readonly answers: CallerAnswer[] = [];
	readonly runs: EngineRun[] = [];
	readonly #options: FleetOptions;
	readonly #random: SeededRandom;
	readonly #hosts: readonly ModelHost[];
	/** Engines by port, in the order of their start; stopped ones keep theirs. */
	readonly #engines: ModelEngine[] = [];
	/** Registered engines by their number. */
	readonly #registered = new Map<number, ModelEngine>();
	readonly #draining = new Set<ModelEngine>();
	#revision = 1;

	/**
	 * @param options - What happens, and when.
	 */
	constructor(options: FleetOptions) {
		const {situation, seed, now} = options;
		this.#options = options;
		this.#random = new SeededRandom(seed + 1);
		for (let index = 0; index < situation.engines; index++) {
			this.#registered.set(index, this.#createEngine(index));
		}

		this.#hosts = Array.from({length: situation.hosts}, (_, index) => new ModelHost({
			name: `h${index}`,
			failureDomain: failureDomains[index % failureDomains.length]!,
			retries: situation.retries,
			now,
			random: () => this.#random.integer(0, 999) / 1000,
			findEngine: port => this.#engines[port - 1],
		}));
		for (const host of this.#hosts) {
			host.changeConfiguration(initialMaxAttempts);
			host.register([...this.#registered.values()].map(({upstream}) => upstream));
		}
	}

	/** Lines of all hosts. */
	get lines(): ReadonlyArray<Readonly<Record<string, unknown>>> {
		return this.#hosts.flatMap(({lines}) => lines);
	}

	/**
	 * @param id - Request.
	 * @returns Engines that it was sent to and that took it, in order.
	 */
	listEngines(id: string): readonly ModelEngine[] {
		return this.runs.filter(({request}) => request === id).map(({engine}) => this.#engines.find(({upstream}) => upstream.id === engine)!);
	}

	/** Schedules everything that happens. */
	start(): void {
		const {silences, changes} = this.#options.situation;
		this.#sendNext();
		for (const {at, engines} of silences) {
			for (const [index, silence] of engines.entries()) {
				if (silence !== undefined) {
					setTimeout(() => {
						this.#registered.get(index)?.silence(silence.duration);
					}, at + silence.delay);
				}
			}
		}

		for (const change of changes) {
			setTimeout(() => {
				this.#apply(change);
			}, change.at);
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		for (const host of this.#hosts) {
			await host[Symbol.asyncDispose]();
		}

		for (const engine of this.#engines) {
			engine.stop();
		}
	}

	#createEngine(index: number): ModelEngine {
		const {situation: {interval}, now} = this.#options;
		const port = this.#engines.length + 1;
		const engine = new ModelEngine({
			id: `e${port}`,
			port,
			failureDomain: failureDomains[index % failureDomains.length]!,
			interval,
			now,
			onRun: run => {
				this.runs.push(run);
			},
		});
		this.#engines.push(engine);
		return engine;
	}

	#sendNext(): void {
		const {situation: {requestInterval, maxEvents, end}, now} = this.#options;
		if (now() >= end) {
			return;
		}

		const id = `r${this.answers.length}`;
		const host = this.#random.pick(this.#hosts);
		this.answers.push(host.send(id, this.#random.integer(promptTokens.least, promptTokens.most), this.#random.integer(minEvents, maxEvents)));
		setTimeout(() => {
			this.#sendNext();
		}, this.#random.integer(Math.ceil(requestInterval / 2), Math.ceil(requestInterval * 1.5)));
	}

	#apply(change: Change): void {
		switch (change.type) {
			case 'configuration': {
				for (const host of this.#hosts) {
					host.changeConfiguration(change.maxAttempts);
				}

				return;
			}

			case 'drain': {
				this.#drain(change.engine);
				return;
			}

			case 'evacuation': {
				this.#write({type: 'evacuated', domain: change.domain});
				setTimeout(() => {
					this.#write({type: 'evacuation-ended', domain: change.domain});
				}, change.duration);
				return;
			}

			case 'hang': {
				const engine = this.#registered.get(change.engine);
				if (engine !== undefined) {
					engine.isHung = true;
				}
			}
		}
	}

	/** Replaces an engine: it gets no new requests, and stops once it has none. */
	#drain(index: number): void {
		const engine = this.#registered.get(index);
		if (engine === undefined || engine.isHung || this.#draining.has(engine)) {
			return;
		}

		this.#draining.add(engine);
		this.#write({type: 'written', upstream: {...engine.upstream, isDraining: true}});
		setTimeout(() => {
			this.#stopIfIdle(index, engine);
		}, drainMs);
	}

	#stopIfIdle(index: number, engine: ModelEngine): void {
		if (!engine.isIdle || engine.isSilent) {
			setTimeout(() => {
				this.#stopIfIdle(index, engine);
			}, idleCheckMs);
			return;
		}

		engine.stop();
		this.#write({type: 'removed', id: engine.upstream.id});
		const next = this.#createEngine(index);
		this.#registered.set(index, next);
		this.#write({type: 'written', upstream: next.upstream});
	}

	#write(change: Parameters<typeof withPosition>[0]): void {
		this.#revision++;
		for (const host of this.#hosts) {
			host.applyChange(withPosition(change, this.#revision));
		}
	}
}

type StoreChange
	= | {readonly type: 'evacuated' | 'evacuation-ended'; readonly domain: string}
		| {readonly type: 'removed'; readonly id: string}
		| {readonly type: 'written'; readonly upstream: ModelEngine['upstream']};

function withPosition(change: StoreChange, revision: number) {
	return {...change, era: 0, revision};
}
