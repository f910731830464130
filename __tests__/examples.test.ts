/** Checks the files in docs/examples and the tables in the documentation against the code. */
import {existsSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {describe, expect, it} from 'vitest';
import {getHttpStatus} from '../src/entry/callers/statuses.js';
import {settingsSchema as entrySettings} from '../src/entry/settings.js';
import {parseConfiguration, findWarnings} from '../src/protocol/configuration/index.js';
import {settingsSchema as engineSettings} from '../stand-ins/engine/settings.js';
import {settingsSchema as plainSettings} from '../stand-ins/plain/service.js';
import {settingsSchema as platformSettings} from '../stand-ins/platform/service.js';

const docs = path.join(import.meta.dirname, '../docs');
const readExample = (name: string) => readFileSync(path.join(docs, 'examples', name), 'utf8');
const readPage = (name: string) => readFileSync(path.join(docs, name), 'utf8');

describe('docs/examples', () => {
	it('has a valid configuration without warnings', () => {
		const parsed = parseConfiguration(readExample('configuration.json'));
		expect(parsed).toMatchObject({type: 'valid', unknownFields: []});
		expect(parsed.type === 'valid' && findWarnings(parsed.configuration)).toEqual([]);
	});

	it.each([
		['host-a1.json', entrySettings.parse],
		['host-a2.json', entrySettings.parse],
		['platform.json', platformSettings.parse],
		['engines.json', engineSettings.parse],
		['portal.json', plainSettings.parse],
		['old-portal.json', plainSettings.parse],
	])('has valid settings in %s', (name, parse: (value: unknown) => unknown) => {
		expect(() => parse(JSON.parse(readExample(name)))).not.toThrow();
	});
});

describe('documentation pages', () => {
	it('give the HTTP status of every result code that callers can receive', () => {
		const rows = [...readPage('CODES.md').matchAll(/^\| (\d+) \| `\w+` \| [^\|]+ \| (\d{3}) \|/gmv)];
		expect(rows.length).toBeGreaterThan(20);
		expect(rows.filter(([, code, status]) => getHttpStatus(Number(code)) !== Number(status))).toEqual([]);
	});

	it.each(['OPERATIONS.md', 'CODES.md', 'GLOSSARY.md'])('%s links to files and headings that exist', name => {
		const anchors = new Set([...readPage(name).matchAll(/^#+ (.+)$/gmv)].map(([, heading]) => heading!.toLowerCase().replaceAll(/[^\w \-]/gv, '').replaceAll(' ', '-')));
		for (const [, link] of readPage(name).matchAll(/\]\(([^\)]+)\)/gv)) {
			const [file, anchor] = link!.split('#');
			expect(file === '' ? anchors.has(anchor!) : existsSync(path.join(docs, file!)), link).toBe(true);
		}
	});
});
