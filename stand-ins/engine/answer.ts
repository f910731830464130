/** Derives answers from prompts, so that a caller can verify that it received the complete answer to its own request. */
import {shortDigest} from '../../src/protocol/blocks.js';

const syllables = ['ba', 'do', 'fi', 'ga', 'ke', 'lu', 'mo', 'ne', 'pi', 'ra', 'so', 'tu', 've', 'wo', 'xi', 'za'] as const;
const syllablesPerWord = 5;
/** Modulus and multiplier of a Lehmer generator. */
const modulus = 2_147_483_647;
const multiplier = 48_271;
const stride = 7_368_787;

function mix(seed: number, index: number): number {
	const state = (seed + (index * stride)) % modulus;
	return state * multiplier % modulus;
}

function parseSeed(digest: string): number {
	return Number.parseInt(digest.slice(0, 8), 16);
}

/** Returns the digest of a rendered prompt, from which its answer is derived. */
export function digestPrompt(prompt: string): string {
	return shortDigest(prompt);
}

/**
 * @param digest - Prompt digest.
 * @param index - Position of the token in the answer.
 * @returns The token, with a trailing space.
 */
export function generateToken(digest: string, index: number): string {
	let remaining = mix(parseSeed(digest), index + 1);
	let word = '';
	for (let count = 0; count < syllablesPerWord; count++) {
		word += syllables[remaining % syllables.length]!;
		remaining = Math.floor(remaining / syllables.length);
	}

	return `${word} `;
}

/**
 * @param digest - Prompt digest.
 * @param lengths - Minimum and maximum answer length in tokens.
 * @param limit - Maximum number of tokens that the caller accepts.
 * @returns Answer length in tokens.
 */
export function calculateAnswerLength(
	digest: string,
	lengths: {readonly least: number; readonly most: number},
	limit: number = Number.MAX_SAFE_INTEGER,
): number {
	const spread = lengths.most - lengths.least + 1;
	return Math.max(1, Math.min(lengths.least + (mix(parseSeed(digest), 0) % spread), limit));
}

/**
 * @param digest - Prompt digest.
 * @param tokens - Answer length in tokens.
 * @returns The complete answer.
 */
export function generateAnswer(digest: string, tokens: number): string {
	return Array.from({length: tokens}, (_, index) => generateToken(digest, index)).join('');
}
