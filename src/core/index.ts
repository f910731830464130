/** The public entry of the core. */
export {
	codes,
	Failure,
	isCodeName,
	isFailure,
	messageOf,
	nameOfCode,
	raise,
	texts,
} from './errors.js';
export type {Code, CodeName} from './errors.js';
export {getOwnEngines, findEnginesDue} from './features/polling/queries.js';
export {isAnswerKept} from './features/tickets/queries.js';
export {initialState, step} from './step.js';
export * from './types/configuration.js';
export type * from './types/effect.js';
export type * from './types/event.js';
export type * from './types/peer.js';
export type * from './types/request.js';
export type * from './types/state.js';
export type * from './types/upstream.js';
export {assertNever} from './utils/common.js';
