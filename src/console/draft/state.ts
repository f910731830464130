/** The state of a draft, which travels in the form and is read again with every post. */
import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {raise} from '../../core/index.js';
import {documentLimit, parseConfiguration, type Valid} from '../../protocol/configuration/index.js';
import {isEntry, type Draft} from './json.js';

export type State = {
	/** Text and content of the document that the draft starts from. */
	readonly baseText: string;
	readonly base: Valid;
	readonly draft: Draft;
};

/** Bytes that a packed document may unpack to; a draft may be a little larger than what is valid. */
const unpackedLimit = 2 * documentLimit;

/**
 * @param text - Text that a form carries.
 * @returns The text, compressed and in characters that forms leave alone.
 */
export function pack(text: string): string {
	return deflateRawSync(text).toString('base64url');
}

/**
 * @param packed - Field of a form.
 * @returns The text.
 * @throws Failure `badForm`.
 */
export function unpack(packed: string): string {
	try {
		return inflateRawSync(Buffer.from(packed, 'base64url'), {maxOutputLength: unpackedLimit}).toString('utf8');
	} catch {
		return raise('badForm', 'The draft cannot be read.');
	}
}

/**
 * @param text - Document to start from.
 * @returns A draft in which defaults are written out.
 * @throws Failure of the first mistake.
 */
export function startDraft(text: string): State {
	const base = readBase(text);
	return {baseText: text, base, draft: toDraft(JSON.stringify(base.configuration))};
}

/**
 * @param packedBase - Field of a form.
 * @param packedDraft - Field of a form.
 * @returns The state they carry.
 * @throws Failure `badForm`, or that of the base's first mistake.
 */
export function readState(packedBase: string, packedDraft: string): State {
	const baseText = unpack(packedBase);
	return {baseText, base: readBase(baseText), draft: toDraft(unpack(packedDraft))};
}

function readBase(text: string): Valid {
	const parsed = parseConfiguration(text);
	if (parsed.type === 'valid') {
		return parsed;
	}

	const {code, path, text: reason} = parsed.mistakes[0]!;
	return raise(code, `${path}: ${reason}`);
}

function toDraft(text: string): Draft {
	const value = parseJson(text);
	return isEntry(value) ? value : raise('badForm', 'The draft is no document.');
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return raise('badForm', 'The draft is not JSON.');
	}
}
