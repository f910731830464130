import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {baseDocument, formatDocument} from '../../protocol/configuration/__tests__/documents.js';
import {runCommand} from './fakes.js';

let folder = '';
const file = (name: string) => path.join(folder, name);

beforeAll(async () => {
	folder = await mkdtemp(path.join(tmpdir(), 'cranberrytide-'));
	await writeFile(file('a.json'), formatDocument());
	await writeFile(file('b.json'), formatDocument({revision: 8, organisations: [baseDocument.organisations[0]]}));
	await writeFile(file('bad.json'), formatDocument({revision: 0, services: []}));
});

afterAll(async () => {
	await rm(folder, {recursive: true});
});

describe('check', () => {
	it('summarises a valid document from a file or standard input', async () => {
		const fromFile = await runCommand(['check', file('a.json')]);
		expect(fromFile).toMatchObject({code: 0, complaints: ''});
		expect(fromFile.out).toContain('Revision 7 is valid: 2 services, 2 organisations, 5 upstreams.');
		expect(await runCommand(['check', '-'], formatDocument())).toEqual(fromFile);
	});

	it('lists mistakes and exits with the class of their code', async () => {
		const {code, out} = await runCommand(['check', file('bad.json')]);
		expect(code).toBe(50);
		expect(out).toMatch(/^\$\.revision: .+ \(badDocument\)$/mv);
		const {out: json} = await runCommand(['check', '--json', file('bad.json')]);
		expect(JSON.parse(json)).toMatchObject({valid: false, mistakes: [{path: '$.revision', number: 5001}]});
	});

	it('warns of dangerous changes', async () => {
		const {out} = await runCommand(['check', file('b.json'), '--against', file('a.json')]);
		expect(out).toContain('warning: The organisation "weekly" is removed: its keys will be refused.');
	});
});

describe('diff', () => {
	it('lists changes and exits with 1', async () => {
		const {code, out} = await runCommand(['diff', file('a.json'), file('b.json')]);
		expect(code).toBe(1);
		expect(out.split('\n').slice(0, 2)).toEqual(['Document: revision changes from 7 to 8', 'Removes the organisation "weekly"']);
	});

	it('writes nothing for identical documents', async () => {
		expect(await runCommand(['diff', file('a.json'), '-'], formatDocument())).toEqual({code: 0, out: '', complaints: ''});
	});

	it('rejects an invalid or missing document', async () => {
		expect(await runCommand(['diff', file('a.json'), file('bad.json')])).toMatchObject({code: 50});
		const missing = await runCommand(['diff', file('a.json'), file('none.json')]);
		expect(missing.code).toBe(70);
		expect(missing.complaints).toMatch(/^error 7001: /v);
	});
});

describe('program', () => {
	it('shows an example with each command', async () => {
		const {out} = await runCommand(['--help']);
		const names = [...out.matchAll(/^ {2}([a-z]+) (?:\[options\]|<)/gmv)].map(match => match[1]!).filter(name => name !== 'help');
		expect(names).toEqual(['check', 'diff', 'show', 'status', 'drain', 'explain', 'incidents', 'losses', 'send', 'completion']);
		for (const name of names) {
			const help = await runCommand([name, '--help']);
			expect(help.code).toBe(0);
			expect(help.out).toMatch(/Examples?:\n {2}.*cranberrytide/v);
		}
	});

	it.each([
		[['nothing'], 70],
		[['check'], 70],
		[['status'], 70],
		[['status', '--hosts', 'nowhere'], 70],
		[['drain', 'a', '--hosts', '127.0.0.1:1', '--grace', 'long'], 70],
		[['completion', 'fish'], 70],
	])('rejects %j with a result code', async (commandArguments, expected) => {
		const {code, complaints} = await runCommand(commandArguments);
		expect(code).toBe(expected);
		expect(complaints).toMatch(/^error 700\d: /v);
	});

	it.each(['bash', 'zsh'])('completes every command in %s', async shell => {
		const {code, out} = await runCommand(['completion', shell]);
		expect(code).toBe(0);
		for (const word of ['explain', '--against', '--key-file']) {
			expect(out).toContain(word);
		}
	});
});
