/** Converts the messages of a prompt to text, token counts and chained block hashes. Entry hosts and engines must agree on the result. */
import {createHash} from 'node:crypto';

/** Characters that count as one token. */
export const charactersPerToken = 4;

/** Tokens in one block of the prefix cache. */
export const blockTokens = 256;

/** Length of a short digest in hexadecimal digits. */
const hashDigits = 16;

/** Part of a message's content; the prompt consists of the text parts only. */
export type ContentPart = {
	readonly type: string;
	readonly text?: string;
};

export type Message = {
	readonly role: string;
	readonly content: string | readonly ContentPart[];
};

function joinText(content: Message['content']): string {
	return typeof content === 'string'
		? content
		: content.map(part => part.text ?? '').join('');
}

/**
 * @param messages - Messages of a chat.
 * @returns The prompt as a single text.
 */
export function renderPrompt(messages: readonly Message[]): string {
	return messages.map(message => `${message.role}: ${joinText(message.content)}\n`).join('');
}

/**
 * @param prompt - Rendered prompt.
 * @returns Estimated number of tokens of the prompt.
 */
export function countTokens(prompt: string): number {
	return Math.ceil(prompt.length / charactersPerToken);
}

/**
 * @param text - Any text.
 * @returns The first 16 hexadecimal digits of the SHA-256 digest.
 */
export function shortDigest(text: string): string {
	return createHash('sha256').update(text).digest('hex').slice(0, hashDigits);
}

/**
 * Hashes each complete block of a prompt together with all preceding blocks, so that equal hashes mean equal prefixes.
 * If the stated number of tokens is a multiple of the number that the text counts as, each block covers correspondingly
 * less text. The factor is rounded, so that prompts with about the same factor share the hashes of their common prefixes.
 *
 * @param prompt - Rendered prompt.
 * @param tokens - Number of prompt tokens that the request states; {@link countTokens} by default.
 * @returns One hash per complete block, in order.
 */
export function hashBlocks(prompt: string, tokens: number = countTokens(prompt)): readonly string[] {
	const factor = Math.max(Math.round(tokens / Math.max(countTokens(prompt), 1)), 1);
	const charactersPerBlock = Math.max(Math.floor(blockTokens * charactersPerToken / factor), 1);
	const blockCount = Math.min(Math.floor(prompt.length / charactersPerBlock), Math.floor(tokens / blockTokens));
	const hashes: string[] = [];
	let previousHash = '';
	for (let index = 0; index < blockCount; index++) {
		previousHash = shortDigest(previousHash + prompt.slice(index * charactersPerBlock, (index + 1) * charactersPerBlock));
		hashes.push(previousHash);
	}

	return hashes;
}
