/** Results of parsing a configuration document. */
import {type CodeName, type Configuration} from '../../core/index.js';

/** A reason why a document is invalid. */
export type Mistake = {
	/** JSON path; `$` is the document itself. */
	readonly path: string;
	readonly code: CodeName;
	/** Description for operators. */
	readonly text: string;
};

export type ValidDocument = {
	readonly type: 'valid';
	readonly configuration: Configuration;
	/** SHA-256 of the text in UTF-8, in lower-case hexadecimal. */
	readonly digest: string;
	/** JSON paths of the fields that this version does not know and ignores. */
	readonly unknownFields: readonly string[];
};

export type InvalidDocument = {
	readonly type: 'invalid';
	/** At least one and at most {@link maxListedMistakes}, in document order where possible. */
	readonly mistakes: readonly Mistake[];
	/** Number of mistakes that are not listed. */
	readonly further: number;
};

export type ParseResult = ValidDocument | InvalidDocument;

/** Maximum number of mistakes listed per document. */
export const maxListedMistakes = 100;

/** Maximum size of a document in bytes; the platform's configuration service has the same limit. */
export const maxDocumentBytes = 1_000_000;
