/** Executes the core's effects. */
import {
	assertNever,
	isAnswerKept,
	type Address,
	type Effect,
	type Event,
	type PeerMessage,
	type State,
} from '../core/index.js';
import {signTicket} from '../protocol/token.js';
import {
	sendOrder,
	readOrders,
	releaseHold,
	requestHold,
} from '../upstream/control.js';
import {type DecisionHistory} from './admin/decisions.js';
import {type Exchanges} from './callers/exchange.js';
import {type Log} from './logs.js';
import {type Metrics} from './metrics.js';
import {type Relays} from './relays/relays.js';
import {createDocumentEvent} from './watch/configuration.js';

type EffectOf<T extends Effect['type']> = Extract<Effect, {readonly type: T}>;

export type PeerLinks = {
	readonly connect: (host: string, address: Address) => void;
	readonly disconnect: (host: string) => void;
	readonly send: (host: string, message: PeerMessage) => void;
};

export type CoreExecutorOptions = {
	readonly exchanges: Exchanges;
	readonly relays: Relays;
	readonly peers: PeerLinks;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly decisions: DecisionHistory;
	readonly state: () => State;
	readonly dispatch: (event: Event) => void;
	readonly setReady: (ready: boolean) => void;
	readonly stop: () => void;
};

/** Executes each effect without waiting for it; results come back to the core as events. */
export class CoreExecutor {
	readonly #options: CoreExecutorOptions;

	constructor(options: CoreExecutorOptions) {
		this.#options = options;
	}

	execute(effect: Effect): void {
		const {
			exchanges,
			relays,
			peers,
			metrics,
			setReady,
			stop,
		} = this.#options;
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
				this.#sendAnswer(effect);
				break;
			}

			case 'replay': {
				exchanges.replay(effect.request, effect.original);
				break;
			}

			case 'issue-ticket': {
				exchanges.issueTicket(effect.request, signTicket(this.#getTokenKeys(), effect.ticket), effect.ticket.expires);
				break;
			}

			case 'forget': {
				exchanges.forget(effect.request);
				break;
			}

			case 'hold': {
				void this.#takeHold(effect);
				break;
			}

			case 'release': {
				void this.#releaseHold(effect);
				break;
			}

			case 'order': {
				void this.#giveOrder(effect);
				break;
			}

			case 'read-orders': {
				void this.#readOrders(effect);
				break;
			}

			case 'parse-configuration': {
				this.#options.dispatch(createDocumentEvent(effect.text, effect.source));
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
				this.#recordDecision(effect);
				break;
			}

			case 'count': {
				metrics.count(effect.name, effect.value, effect.tags);
				break;
			}

			case 'raise': {
				// Handled within the core.
				break;
			}

			default: {
				assertNever(effect);
			}
		}
	}

	#sendAnswer({request, outcome, ticket}: EffectOf<'answer'>): void {
		const {exchanges, state} = this.#options;
		exchanges.end(request, {outcome, ticket: ticket && signTicket(this.#getTokenKeys(), ticket)}, original => isAnswerKept(state(), original));
	}

	#getTokenKeys() {
		return this.#options.state().configuration.inForce?.tokenKeys ?? [];
	}

	#recordDecision({decision}: EffectOf<'log'>): void {
		const {type, ...fields} = decision;
		this.#options.decisions.add(decision);
		this.#options.log.write({event: type, ...fields});
	}

	async #takeHold(effect: EffectOf<'hold'>): Promise<void> {
		const {hold, upstream, address, tokens, deadline} = effect;
		const owner = this.#options.state().self.incarnation;
		let granted = false;
		try {
			granted = await requestHold(address, {
				id: hold,
				owner,
				tokens,
				deadline,
			});
		} catch {
			// The engine may have granted the hold, so the core releases it.
		}

		this.#options.dispatch({
			type: 'hold-answered',
			hold,
			upstream,
			granted,
		});
	}

	async #releaseHold({hold, upstream, address}: EffectOf<'release'>): Promise<void> {
		try {
			await releaseHold(address, hold);
			this.#options.dispatch({type: 'hold-released', hold, upstream});
		} catch {
			// The core retries until the engine confirms.
		}
	}

	async #readOrders({upstream, address}: EffectOf<'read-orders'>): Promise<void> {
		const {dispatch} = this.#options;
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

	async #giveOrder({upstream, address, order}: EffectOf<'order'>): Promise<void> {
		try {
			const answer = await sendOrder(address, order);
			this.#options.dispatch({
				type: 'order-answered',
				upstream,
				order,
				...answer,
			});
		} catch {
			// The core sends the order again if the engine's report still differs.
		}
	}
}
