import {readFileSync} from 'node:fs';
import path from 'node:path';
import {describe, expect, it} from 'vitest';
import {codes, texts, type CodeName} from '../../core/index.js';

const page = readFileSync(path.join(import.meta.dirname, '../../../docs/CODES.md'), 'utf8');
const rows = page.split('\n')
	.filter(line => /^\| \d/v.test(line))
	.map(line => line.split('|').map(cell => cell.trim()).slice(1, -1));

describe('docs/CODES.md', () => {
	it('lists every code once, with its name and text', () => {
		const names = Object.keys(codes).filter((name): name is CodeName => Object.hasOwn(codes, name));
		const expected = names.map(name => [String(codes[name]), `\`${name}\``, texts[name]]);
		expect(rows.map(row => row.slice(0, 3))).toEqual(expected.toSorted((first, second) => Number(first[0]) - Number(second[0])));
	});

	it('states for every code what to do', () => {
		expect(rows.filter(row => row.at(-1) === '')).toEqual([]);
	});

	it('uses each number for one code only', () => {
		expect(new Set(Object.values(codes)).size).toBe(Object.keys(codes).length);
	});
});
