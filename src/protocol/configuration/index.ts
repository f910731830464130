/** Parses, validates, compares and describes configuration documents. */
export type {Change, EntryKind, FieldValue} from './changes.js';
export {compareConfigurations} from './difference.js';
export {groupBy} from './group.js';
export {computeDigest, parseConfiguration} from './parse.js';
export {formatPath} from './path.js';
export {maxDocumentBytes, maxListedMistakes} from './types.js';
export type {
	InvalidDocument, Mistake, ParseResult, ValidDocument,
} from './types.js';
export {describeWarning, type Warning} from './warning.js';
export {findWarnings} from './warnings.js';
export {describeChange, formatDuration, describeScope} from './descriptions.js';
