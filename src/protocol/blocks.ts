/** How a prompt's messages become text, tokens and chained block hashes; entry hosts and engines must agree on it. */
import {createHash} from 'node:crypto';

/** Characters that count as one token. */
export const charactersPerToken = 4;

/** Tokens in one block of the prefix cache. */
export const blockTokens = 256;

/** Hexadecimal digits kept of each block's hash. */
const hashDigits = 16;

/** Part of a message's content; only text counts towards the prompt. */
export type ContentPart = {
	readonly type: string;
	readonly text?: string;
};

export type Message = {
	readonly role: string;
	readonly content: string | readonly ContentPart[];
};

function textOf(content: Message['content']): string {
	return typeof content === 'string'
		? content
		: content.map(part => part.text ?? '').join('');
}

/**
 * @param messages - Messages of a chat.
 * @returns The prompt as one text.
 */
export function renderPrompt(messages: readonly Message[]): string {
	return messages.map(message => `${message.role}: ${textOf(message.content)}\n`).join('');
}

/**
 * @param prompt - Rendered prompt.
 * @returns Tokens that the text counts as.
 */
export function countTokens(prompt: string): number {
	return Math.ceil(prompt.length / charactersPerToken);
}

/**
 * @param text - Any text.
 * @returns A short SHA-256 digest in hexadecimal.
 */
export function shortDigest(text: string): string {
	return createHash('sha256').update(text).digest('hex').slice(0, hashDigits);
}

/**
 * Hashes each whole block of a prompt together with the blocks before it, so that equal hashes mean equal prefixes.
 * Where a prompt states a multiple of the tokens that its text has, each block takes that much less of the text; the
 * multiple is rounded, so that prompts of one multiple share their prefixes' hashes.
 *
 * @param prompt - Rendered prompt.
 * @param tokens - Prompt tokens, as stated or as {@link countTokens} counts them.
 * @returns One hash for each whole block, first block first.
 */
export function hashBlocks(prompt: string, tokens: number = countTokens(prompt)): readonly string[] {
	const multiple = Math.max(Math.round(tokens / Math.max(countTokens(prompt), 1)), 1);
	const width = Math.max(Math.floor(blockTokens * charactersPerToken / multiple), 1);
	const count = Math.min(Math.floor(prompt.length / width), Math.floor(tokens / blockTokens));
	const hashes: string[] = [];
	let before = '';
	for (let index = 0; index < count; index++) {
		before = shortDigest(before + prompt.slice(index * width, (index + 1) * width));
		hashes.push(before);
	}

	return hashes;
}
