/** Convictions that operators have added or lifted. The newest order about a cause wins, whichever host it arrives at first. */
import {dropOldest} from '../../utils/bounded.js';
import {type Cause} from './causes.js';

/** Most causes that operators may have given orders about. */
const maxOrders = 1024;

/** An operator's order about one cause. */
export type Order = {
	readonly cause: Cause;
	readonly service: string;
	/** `add` refuses requests with the cause; `lift` drops what is known against it. */
	readonly action: 'add' | 'lift';
	/** Unix time in milliseconds at the host that took it. */
	readonly given: number;
	/** Why, in the operator's words. */
	readonly reason: string;
};

/** Order with the time at which it arrived here; monotonic milliseconds. */
export type ReceivedOrder = Order & {readonly at: number};

function keyOf({service, cause}: Pick<Order, 'cause' | 'service'>): string {
	return `${service} ${cause}`;
}

export class Orders {
	readonly #orders = new Map<string, ReceivedOrder>();

	/** All orders in force. */
	get all(): Iterable<ReceivedOrder> {
		return this.#orders.values();
	}

	/**
	 * @param order - Order of an operator, from this host or another one.
	 * @returns Whether it is newer than what was known.
	 */
	apply(order: ReceivedOrder): boolean {
		const key = keyOf(order);
		const known = this.#orders.get(key);
		if (known !== undefined && known.given >= order.given) {
			return false;
		}

		this.#orders.delete(key);
		this.#orders.set(key, order);
		dropOldest(this.#orders, maxOrders);
		return true;
	}

	/**
	 * @param service - Service.
	 * @param cause - Cause.
	 * @returns The order in force about it, if there is one.
	 */
	findOrder(service: string, cause: Cause): ReceivedOrder | undefined {
		return this.#orders.get(keyOf({service, cause}));
	}
}
