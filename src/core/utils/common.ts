/** Helpers for the steps of features. */
import {type Effect} from '../types/effect.js';
import {type State, type StepResult} from '../types/state.js';

/**
 * @param state - Next state, changed or not.
 * @returns A step without effects.
 */
export function withoutEffects(state: State): StepResult {
	return {state, effects: []};
}

/**
 * Marks a switch as exhaustive.
 *
 * @param value - A value of which every case is handled.
 * @returns Never.
 */
export function assertNever(value: never): never {
	throw new TypeError(`Unhandled case ${JSON.stringify(value)}`);
}

/**
 * Runs steps in order, each on the state that the previous one returned.
 *
 * @param state - First state.
 * @param steps - Steps in order.
 * @returns The last state and all effects in order.
 */
export function chain(state: State, ...steps: ReadonlyArray<(state: State) => StepResult>): StepResult {
	let current = state;
	const effects: Effect[] = [];
	for (const each of steps) {
		const next = each(current);
		current = next.state;
		effects.push(...next.effects);
	}

	return {state: current, effects};
}
