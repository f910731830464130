/** Parses, validates, compares and describes configuration documents. */
export type {Change, EntryKind, FieldValue} from './changes.js';
export {compareConfigurations as compareConfigurations} from './difference.js';
export {groupBy} from './group.js';
export {computeDigest, parseConfiguration} from './parse.js';
export {formatPath} from './path.js';
export {maxDocumentBytes as maxDocumentBytes, maxListedMistakes} from './types.js';
export type {
	InvalidDocument as InvalidDocument, Mistake, ParseResult as ParseResult, ValidDocument as ValidDocument,
} from './types.js';
export {describeWarning as describeWarning, type Warning} from './warning.js';
export {findWarnings as findWarnings} from './warnings.js';
export {describeChange as describeChange, formatDuration as formatDuration, describeScope} from './descriptions.js';
