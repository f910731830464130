/** Bytes of the HTTP grammar (RFC 9110, section 5.6.2, and RFC 9112, section 5). */

export const tab = 0x09;
export const lineFeed = 0x0A;
export const carriageReturn = 0x0D;
export const space = 0x20;
export const quote = 0x22;
export const colon = 0x3A;
export const semicolon = 0x3B;
export const equals = 0x3D;
export const backslash = 0x5C;

const byteValues = 256;
const tokenCharacters = new Set('!#$%&\'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ');

function createTable(has: (byte: number) => boolean): readonly boolean[] {
	return Array.from({length: byteValues}, (_, byte) => has(byte));
}

const tokenBytes = createTable(byte => tokenCharacters.has(String.fromCodePoint(byte)));
const textBytes = createTable(byte => byte === tab || (byte >= space && byte !== 0x7F));

/**
 * @param byte - Byte.
 * @returns Whether it may be part of a token, such as the name of a field.
 */
export function isTokenByte(byte: number): boolean {
	return tokenBytes[byte]!;
}

/**
 * @param byte - Byte.
 * @returns Whether it may be part of the value of a field, or of a reason phrase.
 */
export function isTextByte(byte: number): boolean {
	return textBytes[byte]!;
}

/**
 * @param byte - Byte.
 * @returns Whether it is a decimal digit.
 */
export function isDigit(byte: number): boolean {
	return byte >= 0x30 && byte <= 0x39;
}

/**
 * @param byte - Byte.
 * @returns Its value as a hexadecimal digit; undefined if it is none.
 */
export function parseHexDigit(byte: number): number | undefined {
	const value = Number.parseInt(String.fromCodePoint(byte), 16);
	return Number.isNaN(value) ? undefined : value;
}

/**
 * @param byte - Byte.
 * @returns Its value in hexadecimal notation, for a message.
 */
export function describeByte(byte: number): string {
	return `byte 0x${byte.toString(16).padStart(2, '0')}`;
}
