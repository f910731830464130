/** Answers as a function of the prompt, so that a caller can check that it got the whole answer to its own request. */
import {shortDigest} from '../../src/protocol/blocks.js';

const syllables = ['ba', 'do', 'fi', 'ga', 'ke', 'lu', 'mo', 'ne', 'pi', 'ra', 'so', 'tu', 've', 'wo', 'xi', 'za'] as const;
const syllablesPerWord = 5;
/** A Lehmer generator's modulus and multiplier. */
const modulus = 2_147_483_647;
const multiplier = 48_271;
const stride = 7_368_787;

function mix(seed: number, index: number): number {
	const state = (seed + (index * stride)) % modulus;
	return state * multiplier % modulus;
}

function seedOf(digest: string): number {
	return Number.parseInt(digest.slice(0, 8), 16);
}

/**
 * @param prompt - Rendered prompt.
 * @returns The digest that decides the prompt's answer.
 */
export function promptDigest(prompt: string): string {
	return shortDigest(prompt);
}

/**
 * @param digest - Prompt digest.
 * @param index - Place of the token in the answer.
 * @returns One token of the answer, with the space after it.
 */
export function answerToken(digest: string, index: number): string {
	let rest = mix(seedOf(digest), index + 1);
	let word = '';
	for (let count = 0; count < syllablesPerWord; count++) {
		word += syllables[rest % syllables.length]!;
		rest = Math.floor(rest / syllables.length);
	}

	return `${word} `;
}

/**
 * @param digest - Prompt digest.
 * @param lengths - Least and most tokens of an answer.
 * @param limit - The most tokens the caller takes.
 * @returns Tokens of the answer.
 */
export function answerLength(
	digest: string,
	lengths: {readonly least: number; readonly most: number},
	limit: number = Number.MAX_SAFE_INTEGER,
): number {
	const spread = lengths.most - lengths.least + 1;
	return Math.max(1, Math.min(lengths.least + (mix(seedOf(digest), 0) % spread), limit));
}

/**
 * @param digest - Prompt digest.
 * @param tokens - Tokens of the answer.
 * @returns The whole answer.
 */
export function answerText(digest: string, tokens: number): string {
	return Array.from({length: tokens}, (_, index) => answerToken(digest, index)).join('');
}
