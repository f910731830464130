/** Configuration documents beyond their shape. */
export {digestOf, parseConfiguration} from './parse.js';
export {documentLimit, mistakeLimit} from './types.js';
export type {
	Invalid, Mistake, Parsed, Valid,
} from './types.js';
