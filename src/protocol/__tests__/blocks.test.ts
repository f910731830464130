import {describe, expect, it} from 'vitest';
import {countTokens, hashBlocks, renderPrompt} from '../blocks.js';

const block = 1024;

describe('blocks', () => {
	it('gives equal hashes for an equal prefix and others from the first difference on', () => {
		const first = hashBlocks('a'.repeat(4 * block));
		const second = hashBlocks('a'.repeat(2 * block) + 'b' + 'a'.repeat((2 * block) - 1));
		expect(first).toHaveLength(4);
		expect(second.slice(0, 2)).toEqual(first.slice(0, 2));
		expect(second[2]).not.toBe(first[2]);
		expect(second[3]).not.toBe(first[3]);
	});

	it('hashes whole blocks only', () => {
		expect(hashBlocks('a'.repeat(block - 1))).toEqual([]);
		expect(hashBlocks('a'.repeat((2 * block) + 5))).toHaveLength(2);
	});

	it('spreads stated tokens over a shorter text', () => {
		const text = 'x'.repeat(64);
		expect(hashBlocks(text, 16 * 256)).toHaveLength(16);
		expect(countTokens(text)).toBe(16);
	});

	it('renders roles and text parts', () => {
		expect(renderPrompt([
			{role: 'system', content: 's'},
			{role: 'user', content: [{type: 'text', text: 'a'}, {type: 'image'}, {type: 'text', text: 'b'}]},
		])).toBe('system: s\nuser: ab\n');
	});
});
