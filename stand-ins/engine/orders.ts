/** What an engine holds and loads, and the orders that change it. */
import {setTimeout as sleep} from 'node:timers/promises';
import got from 'got';
import {type Address, type OrderNumber, type Target} from '../../src/core/index.js';
import {type OrderBody, type OrderState} from '../../src/upstream/protocol.js';
import {type EngineSettings} from './settings.js';

/** The engine whose state orders change. */
export type Ordered = {
	/** Resolves when no request runs any more. */
	readonly drained: () => Promise<void>;
	/** Told when another model or version was loaded. */
	readonly replaced: () => void;
};

export type OrderAnswer = {
	readonly accepted: boolean;
	readonly seen: OrderNumber | undefined;
};

const retryInterval = 200;
const tooMany = 429;

/**
 * @param first - Fencing number.
 * @param second - Fencing number.
 * @returns Whether the first is older.
 */
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
	readonly #ordered: Ordered;
	#current: Target | undefined;
	#loading: Target | undefined;
	#highest: OrderNumber | undefined;

	constructor(settings: EngineSettings, timeScale: number, weightStore: Address | undefined, ordered: Ordered) {
		this.#settings = settings;
		this.#timeScale = timeScale;
		this.#weightStore = weightStore;
		this.#ordered = ordered;
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

	/**
	 * @param incarnation - Engine incarnation.
	 * @returns The state that is published, fresh.
	 */
	state(incarnation: string): OrderState {
		return {
			incarnation, highest: this.#highest, current: this.#current, loading: this.#loading,
		};
	}

	/**
	 * Takes an order, unless the engine checks numbers and has seen a higher one.
	 *
	 * @param order - Order received.
	 * @returns Whether it was taken, and the highest number seen.
	 */
	take(order: OrderBody): OrderAnswer {
		if (this.#settings.fencing) {
			if (this.#highest !== undefined && isOlder(order.number, this.#highest)) {
				return {accepted: false, seen: this.#highest};
			}

			this.#highest = order.number;
		}

		if (order.type === 'load') {
			void this.#load(order.target);
		}

		return {accepted: true, seen: this.#highest};
	}

	/** A later order replaces one that is still loading. */
	async #load(target: Target): Promise<void> {
		const wanted = this.#loading ?? this.#current;
		if (JSON.stringify(wanted) === JSON.stringify(target)) {
			return;
		}

		this.#loading = target;
		await this.#ordered.drained();
		const isReplacement = !hasSameWeights(this.#current, target);
		await this.#fetch(target, isReplacement);
		if (this.#loading !== target) {
			return;
		}

		this.#current = target;
		this.#loading = undefined;
		if (isReplacement) {
			this.#ordered.replaced();
		}
	}

	async #fetch(target: Target, isReplacement: boolean): Promise<void> {
		const known = isReplacement ? [] : this.#current?.adapters ?? [];
		const adapters = target.adapters.filter(each => !known.includes(each));
		if (isReplacement) {
			await this.#download(target.model, target.version, target);
			await sleep(this.#settings.loadTime / this.#timeScale);
		}

		for (const adapter of adapters) {
			await this.#download(adapter, target.version, target);
			await sleep(this.#settings.adapterTime / this.#timeScale);
		}
	}

	/** Asks the store until it answers, or until another order has come. */
	async #download(name: string, version: string, target: Target): Promise<void> {
		const store = this.#weightStore;
		if (store === undefined) {
			return;
		}

		while (this.#loading === target) {
			const status = await got(`http://${store.host}:${store.port}/v1/weights/${name}/${version}`, {
				throwHttpErrors: false, retry: {limit: 0},
			}).then(answer => answer.statusCode, () => tooMany);
			if (status === 200) {
				return;
			}

			await sleep(retryInterval / this.#timeScale);
		}
	}
}
