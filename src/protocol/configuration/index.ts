/** Parses, validates, compares and describes configuration documents. */
export type {Change, EntryKind, FieldValue} from './changes.js';
export {difference} from './difference.js';
export {groupBy} from './group.js';
export {computeDigest, parseConfiguration} from './parse.js';
export {formatPath} from './path.js';
export {documentLimit, maxListedMistakes} from './types.js';
export type {
	Invalid, Mistake, Parsed, Valid,
} from './types.js';
export {warningInWords, type Warning} from './warning.js';
export {warningsOf} from './warnings.js';
export {changeInWords, durationInWords, describeScope} from './descriptions.js';
