import {createHash} from 'node:crypto';
import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, expect, it} from 'vitest';
import {baseDocument, formatDocument} from '../../protocol/configuration/__tests__/documents.js';
import {parseConfiguration} from '../../protocol/configuration/index.js';
import {openConsole} from './browser.js';

async function open(settings: Readonly<Record<string, unknown>> = {}) {
	return openConsole(settings);
}

const openCheckService = 'go/entry/services/0';

describe('console', () => {
	it('edits the document in force and downloads one valid document', async () => {
		const folder = await mkdtemp(path.join(tmpdir(), 'cranberrytide-'));
		const document = path.join(folder, 'current.json');
		await writeFile(document, formatDocument());
		await using console = await open({document});
		const start = await console.start();
		expect(start).toContain('Draft of revision 8 based on 7: 0 changes, 0 mistakes');
		const service = await console.next(start, openCheckService);
		const typed = await console.next(service, 'go/review', {'field.deadline.most': '900000', 'field.idempotent': 'yes'});
		expect(typed).toContain('Service &quot;check&quot;: deadline.most changes from 10 min to 15 min');
		expect(typed).toContain('a payment or booking could run twice');

		const refused = await console.next(typed, 'download');
		expect(refused).toContain('Tick that you have read the warnings');
		const response = await console.press(refused, 'download', {accepted: 'yes'});
		expect(response.headers.get('content-disposition')).toBe('attachment; filename="configuration-8.json"');
		expect(parseConfiguration(await response.text())).toMatchObject({
			type: 'valid',
			configuration: {revision: 8, services: [{id: 'check', idempotent: true, deadline: {most: 900_000}}, {id: 'reference'}]},
		});
		expect(await readFile(document, 'utf8')).toBe(formatDocument());
		await rm(folder, {recursive: true});
	});

	it('shows each mistake next to its field, keeps the typed text and refuses the download', async () => {
		await using console = await open();
		const start = await console.start(formatDocument());
		const service = await console.next(start, openCheckService);
		const wrong = await console.next(service, 'stay', {'field.deadline.default': '700000', 'field.retryBudget.ratio': 'a lot'});
		expect(wrong).toMatch(/id="field\.retryBudget\.ratio"[^>]*aria-invalid="true" value="a lot"/v);
		expect(wrong).toContain('id="field.retryBudget.ratio-mistakes"');
		expect(wrong).toMatch(/id="field\.deadline\.default-mistakes"><li>The default of 700000 ms is above the most/v);
		const corrected = await console.next(wrong, 'stay', {'field.retryBudget.ratio': '0.2'});
		expect(corrected).not.toContain('id="field.retryBudget.ratio-mistakes"');
		const list = await console.next(corrected, 'go/list/services');
		expect(list).toContain('class="wrong"');
		expect(await console.next(list, 'download', {accepted: 'yes'})).toContain('cannot be downloaded while it has mistakes');
	});

	it('shows the mistakes of all sections together, without those caused by placeholders for malformed fields', async () => {
		await using console = await open();
		const service = await console.next(await console.start(formatDocument()), openCheckService);
		const upstream = await console.next(service, 'go/entry/upstreams/0', {'field.deadline.most': 'long', 'field.model': ''});
		const review = await console.next(upstream, 'go/review', {'field.failureDomain': 'west', 'field.target.model': 'style', 'field.target.version': '1'});
		expect([...review.matchAll(/value="go\/entry\/[^"]+" class="plain">([^<]+)<\/button>/gv)].map(match => match[1])).toEqual([
			'$.services[0].deadline.most', '$.services[0].model', '$.upstreams[0].failureDomain',
		]);
	});

	it.each([
		['services', 'model'],
		['services', 'plain'],
		['organisations', ''],
		['upstreams', 'engine'],
		['upstreams', 'plain'],
		['upstreams', 'legacy'],
		['plannedStops', ''],
		['takeovers', ''],
		['failureDomains', ''],
		['tokenKeys', ''],
	])('adds to %s a new entry of kind "%s" and removes it', async (section, kind) => {
		await using console = await open();
		const start = await console.start(formatDocument());
		const fresh = await console.next(start, `add/${section}/${kind}`);
		expect(fresh).toContain('<h1>New ');
		const index = /value="entry\/\w+\/(\d+)"/v.exec(fresh)![1]!;
		const review = await console.next(await console.next(fresh, `remove/${section}/${index}`), 'go/review');
		expect(review).toContain('The draft changes nothing yet');
	});

	it('adds an engine, a planned stop and a takeover', async () => {
		await using console = await open();
		const engine = await console.next(await console.start(formatDocument()), 'add/upstreams/engine');
		const stop = await console.next(engine, 'add/plannedStops/', {
			'field.id': 'n3',
			'field.service': 'check',
			'field.failureDomain': 'north',
			'field.address.host': '10.0.0.9',
			'field.target.model': 'style',
			'field.target.version': '2',
			'field.target.adapters': 'urdu\r\nnames',
		});
		const takeover = await console.next(stop, 'add/takeovers/', {
			'field.id': 'stop-n1', 'field.target.kind': 'upstream', 'field.target.id': 'n1', 'field.notBefore': '2030-01-02T03:04',
		});
		const review = await console.next(takeover, 'go/review', {'field.service': 'check', 'field.failureDomain': 'north'});
		expect(review).toContain('Service &quot;check&quot; in &quot;north&quot; for every organisation: served by the old endpoint');
		const response = await console.press(review, 'download', {accepted: 'yes'});
		expect(JSON.parse(await response.text())).toMatchObject({
			upstreams: [{}, {}, {}, {}, {}, {id: 'n3', target: {model: 'style', adapters: ['urdu', 'names']}}],
			plannedStops: [{notBefore: Date.UTC(2030, 0, 2, 3, 4)}],
			takeovers: [{service: 'check', failureDomain: 'north', servedBy: 'legacy'}],
		});
	});

	it('creates an API key, shows it once and keeps its hash', async () => {
		await using console = await open();
		const created = await console.next(await console.start(formatDocument()), 'make-key/1');
		const key = /<code>([\w\-]+)<\/code>/v.exec(created)![1]!;
		expect(created).toContain(createHash('sha256').update(key).digest('hex'));
		expect(await console.next(created, 'stay')).not.toContain(key);
	});

	it('changes the signing key', async () => {
		await using console = await open();
		const review = await console.next(await console.next(await console.start(formatDocument()), 'sign/1'), 'go/review');
		expect(review).toContain('Tokens are signed with the key &quot;k2&quot; in place of &quot;k1&quot;');
		expect(review).not.toContain(baseDocument.tokenKeys[0]!.secret);
	});

	it('warns when the base is no longer in force', async () => {
		const folder = await mkdtemp(path.join(tmpdir(), 'cranberrytide-'));
		const document = path.join(folder, 'current.json');
		await writeFile(document, formatDocument());
		await using console = await open({document});
		const start = await console.start();
		await writeFile(document, formatDocument({revision: 9, organisations: [baseDocument.organisations[0]]}));
		const later = await console.next(start, openCheckService);
		expect(later).toContain('The base of this draft is no longer in force');
		expect(later).toContain('Removes the organisation &quot;weekly&quot;');
		expect(later).toContain('Draft of revision 10 based on 7');
		await rm(folder, {recursive: true});
	});

	it('escapes text from documents and forms', async () => {
		await using console = await open();
		const injection = '"><script>alert(1)</script>';
		const page = await console.next(await console.start(formatDocument()), 'add/organisations/', {'field.id': injection});
		const typed = await console.next(page, 'stay', {'field.id': injection, 'field.priority': injection, 'field.keyHashes': injection});
		const pages = [typed, await console.next(typed, 'go/list/organisations', {filter: injection}), await console.next(typed, 'go/review'), await console.start(`{"${injection}":1}`)];
		for (const each of pages) {
			expect(each).not.toContain('<script');
		}
	});

	it('filters a long list of organisations by parts of their names', async () => {
		await using console = await open();
		const organisations = Array.from({length: 300}, (_, index) => ({id: `member-${index}`, keyHashes: []}));
		const list = await console.next(await console.start(formatDocument({organisations})), 'go/list/organisations');
		expect(list).toContain('100 of 300 entries shown');
		expect(await console.next(list, 'stay', {filter: 'member-29'})).toContain('11 of 300 entries shown');
	});
});
