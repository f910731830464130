/** Small helpers used everywhere in the core. */
import {type Effect} from '../types/effect.js';
import {type State, type Step} from '../types/state.js';

/**
 * @param state - State that stays or became.
 * @returns A step without effects.
 */
export function only(state: State): Step {
	return {state, effects: []};
}

/**
 * Marks a switch as exhaustive.
 *
 * @param value - A value whose every case was handled.
 * @returns Never.
 */
export function assertNever(value: never): never {
	throw new TypeError(`Unhandled case ${JSON.stringify(value)}`);
}

/**
 * Runs steps one after another on the state that the one before left.
 *
 * @param state - First state.
 * @param steps - Steps in order.
 * @returns The last state and all effects in order.
 */
export function chain(state: State, ...steps: ReadonlyArray<(state: State) => Step>): Step {
	let current = state;
	const effects: Effect[] = [];
	for (const each of steps) {
		const next = each(current);
		current = next.state;
		effects.push(...next.effects);
	}

	return {state: current, effects};
}
