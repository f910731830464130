/** Checks that the documentation refers only to scripts, files, links and result codes that exist. */
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {describe, expect, it} from 'vitest';
import {z} from 'zod';
import {codes} from '../src/core/index.js';

const root = path.join(import.meta.dirname, '..');

function listPages(directory: string): readonly string[] {
	return readdirSync(path.join(root, directory), {withFileTypes: true}).flatMap(entry => {
		const file = path.join(directory, entry.name);
		if (entry.isDirectory()) {
			return listPages(file);
		}

		return entry.name.endsWith('.md') ? [file] : [];
	});
}

const allPages = ['README.md', 'CONTRIBUTING.md', ...listPages('docs')];
const {scripts} = z.object({scripts: z.record(z.string(), z.string())})
	.parse(JSON.parse(readFileSync(path.join(root, 'package.json'), 'utf8')));
const knownCodes = new Set<number>(Object.values(codes));

function findMatches(text: string, pattern: RegExp): readonly string[] {
	return [...text.matchAll(pattern)].map(match => match[1]!);
}

describe.each(allPages)('%s', page => {
	const text = readFileSync(path.join(root, page), 'utf8');

	it('names scripts that package.json has', () => {
		const named = findMatches(text, /npm run (?:-s )?([\w:\-]+)/gv);
		expect(named.filter(script => !(script in scripts))).toEqual([]);
	});

	it('names files that exist', () => {
		const named = findMatches(text, /`((?:src|stand-ins|bench|docs|__tests__|\.ci)\/[\w.\/\-]*[\w])`/gv);
		expect(named.filter(file => !existsSync(path.join(root, file)))).toEqual([]);
	});

	it('links to pages that exist', () => {
		const linked = findMatches(text, /\]\((?!https?:|#|mailto:)([^\)#\s]+)/gv);
		expect(linked.filter(link => !existsSync(path.join(root, path.dirname(page), link)))).toEqual([]);
	});

	it('names compiled programs whose sources exist', () => {
		const named = findMatches(text, /node (?:--[\w\-]+ )*dist\/([\w.\/\-]+)\.js/gv);
		expect(named.filter(program => !existsSync(path.join(root, `${program}.ts`)))).toEqual([]);
	});

	it('names result codes that exist', () => {
		const named = findMatches(text, /(?:code|codes|with|result code) `?([1-9]\d{3})`?(?![\d,.]\d)/gv).map(Number);
		expect(named.filter(code => code >= 1000 && code < 10_000 && !knownCodes.has(code))).toEqual([]);
	});
});
