/** Changes to one engine's conduct. */
import {type Engine} from '../../../types/configuration.js';
import {type EventOf} from '../../../types/event.js';
import {type Effect} from '../../../types/effect.js';
import {type Order} from '../../../types/upstream.js';
import {type State, type Step} from '../../../types/state.js';
import {only} from '../../../utils/common.js';
import {revision, upstream} from '../../configuration/queries.js';
import {isBehind, nextNumber} from '../numbers.js';
import {isSame, loadsNeeded} from '../queries.js';
import {type Conduct, type Progress} from '../types.js';

/** Milliseconds until an engine is looked at again after an order that it took, and after one that failed. */
const settlePause = 1500;
const failurePause = 1000;

/**
 * @param state - Core state.
 * @param conduct - Conduct as it is now.
 * @returns The next state.
 */
export function putConduct(state: State, conduct: Conduct): State {
	const conducts = state.placement.conducts.set(conduct.upstream, conduct);
	return {...state, placement: {...state.placement, conducts}};
}

function proceed(state: State, conduct: Conduct, progress: Progress): State {
	return putConduct(state, {...conduct, progress});
}

function spend(state: State, loads: number): State {
	return {...state, placement: {...state.placement, credit: state.placement.credit - loads}};
}

/**
 * Leaves an engine alone for a while, and gives back the load that was kept for it.
 *
 * @param state - Core state.
 * @param conduct - Conduct of the engine.
 * @param until - Monotonic time in milliseconds.
 * @returns The next state.
 */
export function pause(state: State, conduct: Conduct, until: number): State {
	const reserved = conduct.progress.type === 'reading' ? conduct.progress.reserved : 0;
	return proceed(spend(state, -reserved), conduct, {type: 'waiting', until});
}

function engineOf(state: State, id: string): Engine | undefined {
	const found = upstream(state, id);
	return found?.kind === 'engine' ? found : undefined;
}

/**
 * @param state - Core state.
 * @param conduct - Conduct of the engine.
 * @param engine - Engine.
 * @param now - Monotonic time in milliseconds.
 * @returns A step that asks the engine for its orders.
 */
export function read(state: State, conduct: Conduct, engine: Engine, now: number): Step {
	const reserved = conduct.isSealed ? 1 : 0;
	return {
		state: proceed(spend(state, reserved), conduct, {type: 'reading', since: now, reserved}),
		effects: [{type: 'read-orders', upstream: engine.id, address: engine.address}],
	};
}

function order(state: State, conduct: Conduct, engine: Engine, given: {readonly order: Order; readonly now: number; readonly reason: string}): Step {
	const effects: readonly Effect[] = [
		{
			type: 'log', decision: {
				type: 'ordered', upstream: engine.id, order: given.order, reason: given.reason,
			},
		},
		{
			type: 'order', upstream: engine.id, address: engine.address, order: given.order,
		},
	];
	return {state: proceed(state, conduct, {type: 'ordering', since: given.now, number: given.order.number}), effects};
}

/**
 * Decides on a fresh account of the engine's orders: seals first, then orders what differs.
 *
 * @param state - Core state.
 * @param event - The engine's account.
 * @param now - Monotonic time in milliseconds.
 * @returns The next step.
 */
export function takeAccount(state: State, event: EventOf<'orders-read'>, now: number): Step {
	const conduct = state.placement.conducts.get(event.upstream);
	const engine = engineOf(state, event.upstream);
	if (conduct?.progress.type !== 'reading' || engine?.target === undefined) {
		return only(state);
	}

	const held = revision(state);
	if (!event.known) {
		return only(pause(state, conduct, now + failurePause));
	}

	if (isBehind(held, event.highest)) {
		return {
			state: pause(state, conduct, now + failurePause),
			effects: [{type: 'count', name: 'placement.behind', value: 1}],
		};
	}

	const number = nextNumber(held, state.self.incarnation.host, event.highest);
	if (!conduct.isSealed) {
		return order(state, conduct, engine, {order: {type: 'seal', number}, now, reason: 'this host has taken the engine over'});
	}

	if (isSame(event.loading ?? event.current, engine.target)) {
		return only(pause(state, conduct, now + settlePause));
	}

	const rest = loadsNeeded(event.current, engine.target) - conduct.progress.reserved;
	const holds = event.current === undefined ? 'nothing' : `${event.current.model} ${event.current.version}`;
	return order(spend(state, rest), conduct, engine, {order: {type: 'load', number, target: engine.target}, now, reason: `it holds ${holds}`});
}

/**
 * @param state - Core state.
 * @param event - The engine's answer to an order.
 * @param now - Monotonic time in milliseconds.
 * @returns The next step.
 */
export function takeAnswer(state: State, event: EventOf<'order-answered'>, now: number): Step {
	const conduct = state.placement.conducts.get(event.upstream);
	if (conduct?.progress.type !== 'ordering' || conduct.progress.number.counter !== event.order.number.counter) {
		return only(state);
	}

	if (!event.accepted) {
		// Another host has ordered meanwhile: if this one still is the orderer, it seals again.
		return {
			state: putConduct(state, {...conduct, isSealed: false, progress: {type: 'waiting', until: now + failurePause}}),
			effects: [{type: 'count', name: 'placement.refused', value: 1}],
		};
	}

	const isSeal = event.order.type === 'seal';
	return only(putConduct(state, {
		...conduct,
		isSealed: true,
		draining: isSeal ? conduct.draining : undefined,
		progress: {type: 'waiting', until: isSeal ? now : now + settlePause},
	}));
}
