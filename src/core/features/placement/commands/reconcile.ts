/** Reconciles engines with their targets: takes control, gives it up, and starts changes. */
import {Set as Group} from 'immutable';
import {type Engine} from '../../../types/configuration.js';
import {
	type StepContext, type State, type StepResult,
} from '../../../types/state.js';
import {chain, withoutEffects} from '../../../utils/common.js';
import {isServing} from '../../membership/queries.js';
import {getView} from '../../upstreams/queries.js';
import {
	findChangeableEngines, hasSameWeights, isOffTarget, createControllerLookup, getOwnEngines,
} from '../queries.js';
import {earnCredit} from '../store.js';
import {type ControlledEngine} from '../types.js';
import {backOff, setControlled, requestOrders} from './orders.js';

const reconcileIntervalMs = 100;

/** A query or an order without an answer is abandoned after this time. */
const answerTimeoutMs = 3000;

/** Delay before the first order to an engine that ignores order numbers: late orders of its previous controller arrive first. */
const takeoverDelayMs = 3000;

/** Longest wait for running requests before an engine changes. */
const drainTimeoutMs = 600_000;

function findChangingEngines(state: State, changeable: readonly Engine[]): Group<string> {
	const replaced = changeable.filter(engine => engine.target !== undefined && !hasSameWeights(getView(state, engine.id).report?.current, engine.target));
	return Group(replaced.map(engine => engine.id));
}

/** Adds the engines that this host now controls, and removes those that it no longer controls. */
function updateControlled(state: State, engines: readonly Engine[], now: number): State {
	const getController = createControllerLookup(state);
	const {host} = state.self.incarnation;
	const own = isServing(state) ? engines.filter(engine => engine.target !== undefined && getController(engine) === host) : [];
	const ids = new Set(own.map(engine => engine.id));
	const controlled = state.placement.controlled.withMutations(next => {
		for (const id of state.placement.controlled.keys()) {
			if (!ids.has(id)) {
				next.delete(id);
			}
		}

		for (const engine of own) {
			if (!next.has(engine.id)) {
				next.set(engine.id, {upstream: engine.id, isSealed: !engine.fencing, progress: {type: 'waiting', until: engine.fencing ? now : now + takeoverDelayMs}});
			}
		}
	});
	return {...state, placement: {...state.placement, controlled}};
}

function isDrained(state: State, control: ControlledEngine, now: number): boolean {
	const {report, requests} = getView(state, control.upstream);
	const isIdle = report?.running === 0 && report.waiting === 0 && requests === 0;
	return isIdle || (control.draining !== undefined && now - control.draining >= drainTimeoutMs);
}

function isChangeable(state: State, engine: Engine, changeable: ReadonlySet<string>): boolean {
	return getView(state, engine.id).report?.ready === false || changeable.has(engine.id);
}

function reconcileEngine(state: State, engine: Engine, changeable: ReadonlySet<string>, now: number): StepResult {
	const control = state.placement.controlled.get(engine.id);
	if (control === undefined) {
		return withoutEffects(state);
	}

	const {progress} = control;
	if (progress.type !== 'waiting') {
		return now - progress.since < answerTimeoutMs
			? withoutEffects(state)
			: withoutEffects(backOff(state, control, now));
	}

	if (now < progress.until) {
		return withoutEffects(state);
	}

	if (!control.isSealed) {
		return requestOrders(state, control, engine, now);
	}

	if (!isOffTarget(state, engine) || !isChangeable(state, engine, changeable)) {
		return withoutEffects(control.draining === undefined ? state : setControlled(state, {...control, draining: undefined}));
	}

	const draining = control.draining ?? now;
	const waiting = {...control, draining};
	return state.placement.credit >= 1 && isDrained(state, waiting, now)
		? requestOrders(state, waiting, engine, now)
		: withoutEffects(control.draining === draining ? state : setControlled(state, waiting));
}

/**
 * @param state - Core state.
 * @param context - Time.
 * @returns The next step; without change until the next reconciliation is due.
 */
export function reconcile(state: State, {now, wall}: StepContext): StepResult {
	if (now < state.placement.nextReconciliation || state.configuration.inForce === undefined) {
		return withoutEffects(state);
	}

	const engines = getOwnEngines(state);
	const changeable = findChangeableEngines(state);
	const ids = new Set(changeable.map(engine => engine.id));
	const updated = updateControlled(state, engines, now);
	const next: State = {
		...updated,
		placement: {
			...updated.placement,
			...earnCredit(updated, wall),
			changing: findChangingEngines(updated, changeable),
			nextReconciliation: now + reconcileIntervalMs,
		},
	};
	return chain(next, ...engines.map(engine => (current: State) => reconcileEngine(current, engine, ids, now)));
}
