/** State of a draft. The server keeps none: every form carries the state, and every post parses it again. */
import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {raise} from '../../core/index.js';
import {maxDocumentBytes, parseConfiguration, type ValidDocument} from '../../protocol/configuration/index.js';
import {isJsonObject, type Draft} from './json.js';

export type DraftState = {
	/** Text and content of the document that the draft starts from. */
	readonly baseText: string;
	readonly base: ValidDocument;
	readonly draft: Draft;
};

/** Bounds the memory for unpacking; a draft may be somewhat larger than a valid document. */
const maxUnpackedBytes = 2 * maxDocumentBytes;

/**
 * @param text - Text to carry in a form.
 * @returns The text, compressed and encoded as base64url, which forms transmit unchanged.
 */
export function pack(text: string): string {
	return deflateRawSync(text).toString('base64url');
}

/**
 * @param packed - Packed text of a form field.
 * @returns The text.
 * @throws Failure `badForm`.
 */
export function unpack(packed: string): string {
	try {
		return inflateRawSync(Buffer.from(packed, 'base64url'), {maxOutputLength: maxUnpackedBytes}).toString('utf8');
	} catch {
		return raise('badForm', 'The draft cannot be unpacked.');
	}
}

/**
 * @param text - Document to start from.
 * @returns A draft of the document with all default values filled in.
 * @throws Failure of the document's first mistake.
 */
export function startDraft(text: string): DraftState {
	const base = parseBase(text);
	return {baseText: text, base, draft: parseDraft(JSON.stringify(base.configuration))};
}

/**
 * @param packedBase - Packed text of the base.
 * @param packedDraft - Packed JSON of the draft.
 * @returns The state of the draft.
 * @throws Failure `badForm`, or the failure of the base's first mistake.
 */
export function parseState(packedBase: string, packedDraft: string): DraftState {
	const baseText = unpack(packedBase);
	return {baseText, base: parseBase(baseText), draft: parseDraft(unpack(packedDraft))};
}

function parseBase(text: string): ValidDocument {
	const parsed = parseConfiguration(text);
	if (parsed.type === 'valid') {
		return parsed;
	}

	const {code, path, text: reason} = parsed.mistakes[0]!;
	return raise(code, `${path}: ${reason}`);
}

function parseDraft(text: string): Draft {
	const value = parseJson(text);
	return isJsonObject(value) ? value : raise('badForm', 'The draft is not a JSON object.');
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return raise('badForm', 'The draft is not JSON.');
	}
}
