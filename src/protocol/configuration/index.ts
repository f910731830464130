/** Configuration documents beyond their shape. */
export type {Change, Entry, Value} from './changes.js';
export {difference} from './difference.js';
export {groupBy} from './group.js';
export {digestOf, parseConfiguration} from './parse.js';
export {formatPath} from './path.js';
export {documentLimit, mistakeLimit} from './types.js';
export type {
	Invalid, Mistake, Parsed, Valid,
} from './types.js';
export {warningInWords, type Warning} from './warning.js';
export {warningsOf} from './warnings.js';
export {changeInWords, durationInWords, scopeInWords} from './words.js';
