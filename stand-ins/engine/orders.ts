/** Tracks which model and adapters an engine has loaded, and applies the fenced orders that change them. */
import {setTimeout as sleep} from 'node:timers/promises';
import got from 'got';
import {type Address, type OrderNumber, type Target} from '../../src/core/index.js';
import {type OrderBody, type OrderState} from '../../src/upstream/protocol.js';
import {type EngineSettings} from './settings.js';

/** Hooks into the engine that the orders apply to. */
export type OrdersOptions = {
	/** Resolves once no request is running or waiting. */
	readonly waitForDrain: () => Promise<void>;
	/** Called after another model or version was loaded. */
	readonly replaced: () => void;
};

export type OrderResult = {
	readonly accepted: boolean;
	/** Highest order number accepted so far; undefined without fencing. */
	readonly highest: OrderNumber | undefined;
};

/** In engine time. */
const retryIntervalMs = 200;
/** Stands for a failed connection, so that the load is retried. */
const tooManyRequests = 429;

/** Returns whether the first fencing number is lower than the second; host names break ties. */
export function isOlder(first: OrderNumber, second: OrderNumber): boolean {
	return first.counter < second.counter || (first.counter === second.counter && first.host < second.host);
}

function hasSameWeights(first: Target | undefined, second: Target): boolean {
	return first?.model === second.model && first.version === second.version;
}

export class Orders {
	readonly #settings: EngineSettings;
	readonly #timeScale: number;
	readonly #weightStore: Address | undefined;
	readonly #options: OrdersOptions;
	#current: Target | undefined;
	#loading: Target | undefined;
	#highest: OrderNumber | undefined;

	constructor(settings: EngineSettings, timeScale: number, weightStore: Address | undefined, options: OrdersOptions) {
		this.#settings = settings;
		this.#timeScale = timeScale;
		this.#weightStore = weightStore;
		this.#options = options;
		this.#current = settings.target;
	}

	get current(): Target | undefined {
		return this.#current;
	}

	get loading(): Target | undefined {
		return this.#loading;
	}

	get highest(): OrderNumber | undefined {
		return this.#highest;
	}

	/** Returns the current state, without the lag of load figures. */
	getState(incarnation: string): OrderState {
		return {
			incarnation, highest: this.#highest, current: this.#current, loading: this.#loading,
		};
	}

	/** Applies an order, unless fencing is enabled and an order with a higher number was accepted before. */
	apply(order: OrderBody): OrderResult {
		if (this.#settings.fencing) {
			if (this.#highest !== undefined && isOlder(order.number, this.#highest)) {
				return {accepted: false, highest: this.#highest};
			}

			this.#highest = order.number;
		}

		if (order.type === 'load') {
			void this.#load(order.target);
		}

		return {accepted: true, highest: this.#highest};
	}

	/** Loads a target once the engine is drained. A later order supersedes a load still in progress. */
	async #load(target: Target): Promise<void> {
		const requested = this.#loading ?? this.#current;
		if (JSON.stringify(requested) === JSON.stringify(target)) {
			return;
		}

		this.#loading = target;
		await this.#options.waitForDrain();
		const isReplacement = !hasSameWeights(this.#current, target);
		await this.#fetchWeights(target, isReplacement);
		if (this.#loading !== target) {
			return;
		}

		this.#current = target;
		this.#loading = undefined;
		if (isReplacement) {
			this.#options.replaced();
		}
	}

	async #fetchWeights(target: Target, isReplacement: boolean): Promise<void> {
		const loadedAdapters = isReplacement ? [] : this.#current?.adapters ?? [];
		const missingAdapters = target.adapters.filter(each => !loadedAdapters.includes(each));
		if (isReplacement) {
			await this.#download(target.model, target.version, target);
			await sleep(this.#settings.loadTime / this.#timeScale);
		}

		for (const adapter of missingAdapters) {
			await this.#download(adapter, target.version, target);
			await sleep(this.#settings.adapterTime / this.#timeScale);
		}
	}

	/** Retries until the weight store serves the weights or another order supersedes the load. */
	async #download(name: string, version: string, target: Target): Promise<void> {
		const store = this.#weightStore;
		if (store === undefined) {
			return;
		}

		while (this.#loading === target) {
			const status = await got(`http://${store.host}:${store.port}/v1/weights/${name}/${version}`, {
				throwHttpErrors: false, retry: {limit: 0},
			}).then(answer => answer.statusCode, () => tooManyRequests);
			if (status === 200) {
				return;
			}

			await sleep(retryIntervalMs / this.#timeScale);
		}
	}
}
