/** Looks at the engines from time to time: takes over, gives up, and begins changes. */
import {Set as Group} from 'immutable';
import {type Engine} from '../../../types/configuration.js';
import {
	type Context, type State, type Step,
} from '../../../types/state.js';
import {chain, only} from '../../../utils/common.js';
import {isServing} from '../../membership/queries.js';
import {view} from '../../upstreams/queries.js';
import {
	changeableEngines, hasSameWeights, isOff, orderers, ownEngines,
} from '../queries.js';
import {earnCredit} from '../store.js';
import {type Conduct} from '../types.js';
import {pause, putConduct, read} from './conduct.js';

/** Milliseconds between two looks. */
const lookInterval = 100;

/** Milliseconds after which a question or an order without an answer is given up. */
const answerTimeout = 3000;

/** Milliseconds that orders of an earlier orderer get to arrive at an engine that ignores numbers. */
const holdOff = 3000;

/** Milliseconds that running requests get before an engine changes. */
const drainTime = 600_000;

function changingEngines(state: State, changeable: readonly Engine[]): Group<string> {
	const replaced = changeable.filter(engine => engine.target !== undefined && !hasSameWeights(view(state, engine.id).report?.current, engine.target));
	return Group(replaced.map(engine => engine.id));
}

/** Engines that this host has become the orderer of get a new conduct, others lose theirs. */
function adopt(state: State, engines: readonly Engine[], now: number): State {
	const orderer = orderers(state);
	const {host} = state.self.incarnation;
	const own = isServing(state) ? engines.filter(engine => engine.target !== undefined && orderer(engine) === host) : [];
	const ids = new Set(own.map(engine => engine.id));
	const conducts = state.placement.conducts.withMutations(next => {
		for (const id of state.placement.conducts.keys()) {
			if (!ids.has(id)) {
				next.delete(id);
			}
		}

		for (const engine of own) {
			if (!next.has(engine.id)) {
				next.set(engine.id, {upstream: engine.id, isSealed: !engine.fencing, progress: {type: 'waiting', until: engine.fencing ? now : now + holdOff}});
			}
		}
	});
	return {...state, placement: {...state.placement, conducts}};
}

function isDrained(state: State, conduct: Conduct, now: number): boolean {
	const {report, requests} = view(state, conduct.upstream);
	const isIdle = report?.running === 0 && report.waiting === 0 && requests === 0;
	return isIdle || (conduct.draining !== undefined && now - conduct.draining >= drainTime);
}

function isChangeable(state: State, engine: Engine, changeable: ReadonlySet<string>): boolean {
	return view(state, engine.id).report?.ready === false || changeable.has(engine.id);
}

function advance(state: State, engine: Engine, changeable: ReadonlySet<string>, now: number): Step {
	const conduct = state.placement.conducts.get(engine.id);
	if (conduct === undefined) {
		return only(state);
	}

	const {progress} = conduct;
	if (progress.type !== 'waiting') {
		return now - progress.since < answerTimeout
			? only(state)
			: only(pause(state, conduct, now));
	}

	if (now < progress.until) {
		return only(state);
	}

	if (!conduct.isSealed) {
		return read(state, conduct, engine, now);
	}

	if (!isOff(state, engine) || !isChangeable(state, engine, changeable)) {
		return only(conduct.draining === undefined ? state : putConduct(state, {...conduct, draining: undefined}));
	}

	const draining = conduct.draining ?? now;
	const waiting = {...conduct, draining};
	return state.placement.credit >= 1 && isDrained(state, waiting, now)
		? read(state, waiting, engine, now)
		: only(conduct.draining === draining ? state : putConduct(state, waiting));
}

/**
 * @param state - Core state.
 * @param context - Time.
 * @returns The next step; without change between two looks.
 */
export function look(state: State, {now, wall}: Context): Step {
	if (now < state.placement.nextLook || state.configuration.inForce === undefined) {
		return only(state);
	}

	const engines = ownEngines(state);
	const changeable = changeableEngines(state);
	const ids = new Set(changeable.map(engine => engine.id));
	const adopted = adopt(state, engines, now);
	const next: State = {
		...adopted,
		placement: {
			...adopted.placement,
			...earnCredit(adopted, wall),
			changing: changingEngines(adopted, changeable),
			nextLook: now + lookInterval,
		},
	};
	return chain(next, ...engines.map(engine => (current: State) => advance(current, engine, ids, now)));
}
