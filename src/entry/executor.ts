/** Carries out the core's effects. */
import {
	assertNever,
	keepsAnswer,
	type Address,
	type Effect,
	type Event,
	type PeerMessage,
	type State,
} from '../core/index.js';
import {signTicket} from '../protocol/token.js';
import {
	giveOrder,
	readOrders,
	releaseHold,
	takeHold,
} from '../upstream/control.js';
import {type Decisions} from './admin/decisions.js';
import {type Exchanges} from './callers/exchange.js';
import {type Log} from './logs.js';
import {type Metrics} from './metrics.js';
import {type Relays} from './relays/relays.js';
import {documentEvent} from './watch/configuration.js';

type EffectOf<T extends Effect['type']> = Extract<Effect, {readonly type: T}>;

/** Links to other hosts. */
export type Peers = {
	readonly connect: (host: string, address: Address) => void;
	readonly disconnect: (host: string) => void;
	readonly send: (host: string, message: PeerMessage) => void;
};

/** What effects act on. */
export type Parts = {
	readonly exchanges: Exchanges;
	readonly relays: Relays;
	readonly peers: Peers;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly decisions: Decisions;
	readonly state: () => State;
	readonly dispatch: (event: Event) => void;
	readonly setReady: (ready: boolean) => void;
	readonly stop: () => void;
};

/** Carries out each effect as it comes; none of them waits. */
export class CoreExecutor {
	readonly #parts: Parts;

	/**
	 * @param parts - What effects act on.
	 */
	constructor(parts: Parts) {
		this.#parts = parts;
	}

	/**
	 * @param effect - What the core wants done.
	 */
	execute(effect: Effect): void {
		const {
			exchanges,
			relays,
			peers,
			metrics,
			setReady,
			stop,
		} = this.#parts;
		switch (effect.type) {
			case 'send': {
				relays.send(effect);
				break;
			}

			case 'cancel': {
				relays.cancel(effect);
				break;
			}

			case 'forward': {
				relays.forward(effect);
				break;
			}

			case 'answer': {
				this.#answer(effect);
				break;
			}

			case 'replay': {
				exchanges.replay(effect.request, effect.original);
				break;
			}

			case 'issue-ticket': {
				exchanges.issue(effect.request, signTicket(this.#keys(), effect.ticket), effect.ticket.expires);
				break;
			}

			case 'forget': {
				exchanges.forget(effect.request);
				break;
			}

			case 'hold': {
				void this.#hold(effect);
				break;
			}

			case 'release': {
				void this.#release(effect);
				break;
			}

			case 'order': {
				void this.#order(effect);
				break;
			}

			case 'read-orders': {
				void this.#readOrders(effect);
				break;
			}

			case 'parse-configuration': {
				this.#parts.dispatch(documentEvent(effect.text, effect.source));
				break;
			}

			case 'connect': {
				peers.connect(effect.host, effect.address);
				break;
			}

			case 'disconnect': {
				peers.disconnect(effect.host);
				break;
			}

			case 'peer-send': {
				peers.send(effect.to, effect.message);
				break;
			}

			case 'ready': {
				setReady(effect.ready);
				break;
			}

			case 'stopped': {
				stop();
				break;
			}

			case 'log': {
				this.#record(effect);
				break;
			}

			case 'count': {
				metrics.count(effect.name, effect.value, effect.tags);
				break;
			}

			case 'raise': {
				// The core takes these itself.
				break;
			}

			default: {
				assertNever(effect);
			}
		}
	}

	#answer({request, outcome, ticket}: EffectOf<'answer'>): void {
		const {exchanges, state} = this.#parts;
		exchanges.end(request, {outcome, ticket: ticket && signTicket(this.#keys(), ticket)}, original => keepsAnswer(state(), original));
	}

	#keys() {
		return this.#parts.state().configuration.inForce?.tokenKeys ?? [];
	}

	#record({decision}: EffectOf<'log'>): void {
		const {type, ...fields} = decision;
		this.#parts.decisions.add(decision);
		this.#parts.log.write({event: type, ...fields});
	}

	async #hold(effect: EffectOf<'hold'>): Promise<void> {
		const {hold, upstream, address, tokens, deadline} = effect;
		const owner = this.#parts.state().self.incarnation;
		let granted = false;
		try {
			granted = await takeHold(address, {
				id: hold,
				owner,
				tokens,
				deadline,
			});
		} catch {
			// Not known to be granted: the core releases it.
		}

		this.#parts.dispatch({
			type: 'hold-answered',
			hold,
			upstream,
			granted,
		});
	}

	async #release({hold, upstream, address}: EffectOf<'release'>): Promise<void> {
		try {
			await releaseHold(address, hold);
			this.#parts.dispatch({type: 'hold-released', hold, upstream});
		} catch {
			// The core asks again until the engine confirms.
		}
	}

	async #readOrders({upstream, address}: EffectOf<'read-orders'>): Promise<void> {
		const {dispatch} = this.#parts;
		try {
			const {highest, current, loading} = await readOrders(address);
			dispatch({
				type: 'orders-read',
				upstream,
				known: true,
				highest,
				current,
				loading,
			});
		} catch {
			dispatch({type: 'orders-read', upstream, known: false});
		}
	}

	async #order({upstream, address, order}: EffectOf<'order'>): Promise<void> {
		try {
			const answer = await giveOrder(address, order);
			this.#parts.dispatch({
				type: 'order-answered',
				upstream,
				order,
				...answer,
			});
		} catch {
			// The core orders again when the engine's report still differs.
		}
	}
}
