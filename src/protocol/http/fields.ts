/** Judges the fields of a head that the HTTP parser of Node.js has accepted. */
import {describeByte, isTextByte, isTokenByte} from './bytes.js';

function findByte(text: string, isAllowed: (byte: number) => boolean): number | undefined {
	for (let index = 0; index < text.length; index++) {
		// Node.js decodes each byte of a head to one character.
		const byte = text.codePointAt(index)!;
		if (!isAllowed(byte)) {
			return byte;
		}
	}

	return undefined;
}

/**
 * @param raw - Alternating names and values, as received.
 * @returns What is wrong with the first field that breaks the grammar (RFC 9110, section 5); undefined if none does.
 */
export function findMalformedField(raw: readonly string[]): string | undefined {
	for (const [index, text] of raw.entries()) {
		const isName = index % 2 === 0;
		if (isName && text === '') {
			return 'a field without a name';
		}

		const byte = findByte(text, isName ? isTokenByte : isTextByte);
		if (byte !== undefined) {
			return `${describeByte(byte)} in the ${isName ? 'name' : 'value'} of a field`;
		}
	}

	return undefined;
}
