/** Lets bodies of requests be read as far as this host has memory for them. */
import {BodyBudget} from '../../core/gateway/limits/request-bodies.js';
import {type GatewayMetrics} from '../metrics.js';

/** Longest wait for space in milliseconds: other hosts may have some. */
const maxWaitMs = 1000;

/** Space for one body; freed when it is disposed of. */
export type BodySpace = Disposable & {
	/**
	 * @param bytes - Length of the body as far as it has come.
	 * @returns Whether there is space for it.
	 */
	readonly extendTo: (bytes: number) => boolean;
};

type Wait = {
	readonly bytes: number;
	readonly resolve: (space: BodySpace | undefined) => void;
};

export class RequestBodies {
	readonly #budget: BodyBudget;
	readonly #metrics: Pick<GatewayMetrics, 'bodiesRefused' | 'bodiesWaited'>;
	/** The longest waiting first. */
	readonly #waits = new Set<Wait>();

	/**
	 * @param budget - Bytes that all bodies may take together; undefined if there is no limit.
	 * @param metrics - Counts waits and refusals.
	 */
	constructor(budget: number | undefined, metrics: Pick<GatewayMetrics, 'bodiesRefused' | 'bodiesWaited'>) {
		this.#budget = new BodyBudget(budget ?? Number.POSITIVE_INFINITY);
		this.#metrics = metrics;
	}

	/** Bytes that bodies take. */
	get held(): number {
		return this.#budget.total;
	}

	/**
	 * @param bytes - Length of a body that is about to be read.
	 * @returns Space for it, perhaps after a wait; undefined if there is none in time.
	 */
	async reserve(bytes: number): Promise<BodySpace | undefined> {
		if (this.#budget.hasSpace(bytes)) {
			return this.#take(bytes);
		}

		this.#metrics.bodiesWaited.inc();
		const space = await this.#wait(bytes);
		if (space === undefined) {
			this.#metrics.bodiesRefused.inc();
		}

		return space;
	}

	async #wait(bytes: number): Promise<BodySpace | undefined> {
		return new Promise(resolve => {
			const wait: Wait = {
				bytes,
				resolve: space => {
					clearTimeout(timer);
					this.#waits.delete(wait);
					resolve(space);
				},
			};
			const timer = setTimeout(() => {
				wait.resolve(undefined);
			}, maxWaitMs);
			this.#waits.add(wait);
		});
	}

	#take(bytes: number): BodySpace {
		let taken = bytes;
		this.#budget.take(bytes);
		return {
			extendTo: length => {
				if (length <= taken) {
					return true;
				}

				this.#budget.release(taken);
				const hasSpace = this.#budget.hasSpace(length);
				taken = hasSpace ? length : taken;
				this.#budget.take(taken);
				if (!hasSpace) {
					this.#metrics.bodiesRefused.inc();
				}

				return hasSpace;
			},
			[Symbol.dispose]: () => {
				this.#budget.release(taken);
				taken = 0;
				this.#grant();
			},
		};
	}

	/** Gives free space to those that wait, in their order; shorter ones may find some where a longer one doesn't. */
	#grant(): void {
		for (const wait of this.#waits) {
			if (this.#budget.hasSpace(wait.bytes)) {
				wait.resolve(this.#take(wait.bytes));
			}
		}
	}
}
