/** Sends orders to one engine that this host controls, and handles its answers. */
import {type Engine} from '../../../types/configuration.js';
import {type EventOf} from '../../../types/event.js';
import {type Effect} from '../../../types/effect.js';
import {type Order} from '../../../types/upstream.js';
import {type State, type StepResult} from '../../../types/state.js';
import {withoutEffects} from '../../../utils/common.js';
import {getRevision, findUpstream} from '../../configuration/queries.js';
import {isBehind, nextNumber} from '../numbers.js';
import {isSameTarget, countLoadsNeeded} from '../queries.js';
import {type ControlledEngine, type OrderProgress} from '../types.js';

/** Time until an engine is reconciled again: after an accepted order, and after a failed one. */
const settleDelayMs = 1500;
const failureDelayMs = 1000;

/**
 * @param state - Core state.
 * @param control - New control state of its engine.
 * @returns The next state.
 */
export function setControlled(state: State, control: ControlledEngine): State {
	const controlled = state.placement.controlled.set(control.upstream, control);
	return {...state, placement: {...state.placement, controlled}};
}

function setProgress(state: State, control: ControlledEngine, progress: OrderProgress): State {
	return setControlled(state, {...control, progress});
}

function spendCredit(state: State, loads: number): State {
	return {...state, placement: {...state.placement, credit: state.placement.credit - loads}};
}

/**
 * Takes no action on an engine for a while, and returns the load that was reserved for it.
 *
 * @param state - Core state.
 * @param control - Control state of the engine.
 * @param until - Monotonic time in milliseconds.
 * @returns The next state.
 */
export function backOff(state: State, control: ControlledEngine, until: number): State {
	const reserved = control.progress.type === 'reading' ? control.progress.reserved : 0;
	return setProgress(spendCredit(state, -reserved), control, {type: 'waiting', until});
}

function findEngine(state: State, id: string): Engine | undefined {
	const found = findUpstream(state, id);
	return found?.kind === 'engine' ? found : undefined;
}

/**
 * @param state - Core state.
 * @param control - Control state of the engine.
 * @param engine - Engine.
 * @param now - Monotonic time in milliseconds.
 * @returns A step that asks the engine for its current orders, and reserves a load if one may follow.
 */
export function requestOrders(state: State, control: ControlledEngine, engine: Engine, now: number): StepResult {
	const reserved = control.isSealed ? 1 : 0;
	return {
		state: setProgress(spendCredit(state, reserved), control, {type: 'reading', since: now, reserved}),
		effects: [{type: 'read-orders', upstream: engine.id, address: engine.address}],
	};
}

function sendOrder(state: State, control: ControlledEngine, engine: Engine, details: {readonly order: Order; readonly now: number; readonly reason: string}): StepResult {
	const effects: readonly Effect[] = [
		{
			type: 'log', decision: {
				type: 'ordered', upstream: engine.id, order: details.order, reason: details.reason,
			},
		},
		{
			type: 'order', upstream: engine.id, address: engine.address, order: details.order,
		},
	];
	return {state: setProgress(state, control, {type: 'ordering', since: details.now, number: details.order.number}), effects};
}

/**
 * Handles an engine's current orders: sends the seal first if it is missing, then a load if the target differs.
 *
 * @param state - Core state.
 * @param event - The engine's current orders.
 * @param now - Monotonic time in milliseconds.
 * @returns The next step.
 */
export function handleOrdersRead(state: State, event: EventOf<'orders-read'>, now: number): StepResult {
	const control = state.placement.controlled.get(event.upstream);
	const engine = findEngine(state, event.upstream);
	if (control?.progress.type !== 'reading' || engine?.target === undefined) {
		return withoutEffects(state);
	}

	const currentRevision = getRevision(state);
	if (!event.known) {
		return withoutEffects(backOff(state, control, now + failureDelayMs));
	}

	if (isBehind(currentRevision, event.highest)) {
		return {
			state: backOff(state, control, now + failureDelayMs),
			effects: [{type: 'count', name: 'placement.behind', value: 1}],
		};
	}

	const number = nextNumber(currentRevision, state.self.incarnation.host, event.highest);
	if (!control.isSealed) {
		return sendOrder(state, control, engine, {order: {type: 'seal', number}, now, reason: 'this host has taken the engine over'});
	}

	if (isSameTarget(event.loading ?? event.current, engine.target)) {
		return withoutEffects(backOff(state, control, now + settleDelayMs));
	}

	const remainingLoads = countLoadsNeeded(event.current, engine.target) - control.progress.reserved;
	const contents = event.current === undefined ? 'nothing' : `${event.current.model} ${event.current.version}`;
	return sendOrder(spendCredit(state, remainingLoads), control, engine, {order: {type: 'load', number, target: engine.target}, now, reason: `it holds ${contents}`});
}

/**
 * @param state - Core state.
 * @param event - The engine's answer to an order.
 * @param now - Monotonic time in milliseconds.
 * @returns The next step.
 */
export function handleOrderAnswered(state: State, event: EventOf<'order-answered'>, now: number): StepResult {
	const control = state.placement.controlled.get(event.upstream);
	if (control?.progress.type !== 'ordering' || control.progress.number.counter !== event.order.number.counter) {
		return withoutEffects(state);
	}

	if (!event.accepted) {
		// Another host has sent an order in the meantime. If this host still controls the engine, it seals again.
		return {
			state: setControlled(state, {...control, isSealed: false, progress: {type: 'waiting', until: now + failureDelayMs}}),
			effects: [{type: 'count', name: 'placement.refused', value: 1}],
		};
	}

	const isSeal = event.order.type === 'seal';
	return withoutEffects(setControlled(state, {
		...control,
		isSealed: true,
		draining: isSeal ? control.draining : undefined,
		progress: {type: 'waiting', until: isSeal ? now : now + settleDelayMs},
	}));
}
