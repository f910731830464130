import {describe, expect, it} from 'vitest';
import {countTokens, hashBlocks, renderPrompt} from '../blocks.js';

const blockCharacters = 1024;

describe('blocks', () => {
	it('returns equal hashes for equal prefixes and different ones after the first difference', () => {
		const first = hashBlocks('a'.repeat(4 * blockCharacters));
		const second = hashBlocks('a'.repeat(2 * blockCharacters) + 'b' + 'a'.repeat((2 * blockCharacters) - 1));
		expect(first).toHaveLength(4);
		expect(second.slice(0, 2)).toEqual(first.slice(0, 2));
		expect(second[2]).not.toBe(first[2]);
		expect(second[3]).not.toBe(first[3]);
	});

	it('hashes only complete blocks', () => {
		expect(hashBlocks('a'.repeat(blockCharacters - 1))).toEqual([]);
		expect(hashBlocks('a'.repeat((2 * blockCharacters) + 5))).toHaveLength(2);
	});

	it('distributes the stated number of tokens over a shorter text', () => {
		const text = 'x'.repeat(64);
		expect(hashBlocks(text, 16 * 256)).toHaveLength(16);
		expect(countTokens(text)).toBe(16);
	});

	it('renders roles and text parts only', () => {
		expect(renderPrompt([
			{role: 'system', content: 's'},
			{role: 'user', content: [{type: 'text', text: 'a'}, {type: 'image'}, {type: 'text', text: 'b'}]},
		])).toBe('system: s\nuser: ab\n');
	});
});
