/** What reading a configuration document can find. */
import {type CodeName, type Configuration} from '../../core/index.js';

/** One thing that keeps a document from being valid. */
export type Mistake = {
	/** JSON path, `$` being the document. */
	readonly path: string;
	readonly code: CodeName;
	/** What is wrong, for people. */
	readonly text: string;
};

export type Valid = {
	readonly type: 'valid';
	readonly configuration: Configuration;
	/** SHA-256 of the text in UTF-8, in lower-case hexadecimal. */
	readonly digest: string;
	/** JSON paths of fields that this version does not know and leaves out. */
	readonly unknownFields: readonly string[];
};

export type Invalid = {
	readonly type: 'invalid';
	/** At least one, in the order of the document as far as it goes; at most {@link mistakeLimit}. */
	readonly mistakes: readonly Mistake[];
	/** Mistakes found beyond those listed. */
	readonly further: number;
};

export type Parsed = Valid | Invalid;

/** Mistakes that are listed for one document. */
export const mistakeLimit = 100;

/** Size that the platform's service holds, in bytes. */
export const documentLimit = 1_000_000;
