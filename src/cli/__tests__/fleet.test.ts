import {describe, expect, it} from 'vitest';
import {type Status} from '../../protocol/admin.js';
import {
	runCommand, sendJson, startServer, type RequestHandler,
} from './fakes.js';

const unreachableAddress = '127.0.0.1:1';

function status(host: string, overrides: Partial<Status> = {}): Status {
	return {
		incarnation: {host, started: 1},
		failureDomain: 'north',
		phase: 'serving',
		revision: 7,
		digest: 'd7',
		peers: [{
			incarnation: {host: 'other', started: 1}, failureDomain: 'south', phase: 'serving', connected: true, revision: 7, silence: 10,
		}],
		upstreams: [{
			id: 'n1',
			kind: 'engine',
			service: 'check',
			failureDomain: 'north',
			reachable: true,
			requests: 2,
			prefill: 0,
			decode: 0,
			report: {
				incarnation: 'e', ready: true, running: 3, waiting: 1, usedMemory: 50, memory: 200, age: host === 'a' ? 900 : 20, current: {
					model: 'style', version: '2', adapters: ['urdu'], role: 'mixed',
				},
			},
		}],
		queues: [{
			service: 'check', waiting: 1, running: 2, longestWait: 3000,
		}],
		...overrides,
	};
}

const routed = {
	type: 'routed',
	request: 'r1',
	organisation: 'daily',
	service: 'check',
	attempt: 'r1.1',
	upstream: 'n1',
	candidates: [{upstream: 'n2', score: 90.4}, {upstream: 'n1', score: 10}],
	reason: 'less work of two',
};
const concluded = {type: 'concluded', request: 'r1', outcome: {type: 'unknown', code: 4001, detail: 'cut'}};

function createHostHandler(name: string, revision = 7): RequestHandler {
	return ({url, method}, response, body) => {
		switch (url) {
			case '/admin/status': {
				sendJson(response, status(name));

				break;
			}

			case '/admin/configuration': {
				sendJson(response, {
					host: name, revision, digest: `d${revision}`, text: `{"revision":${revision}}`,
				});

				break;
			}

			case '/admin/decisions?request=r1': {
				sendJson(response, {host: name, decisions: name === 'a' ? [{time: 5, decision: concluded}, {time: 2, decision: routed}] : [], dropped: false});

				break;
			}

			case '/admin/decisions?request=r2': {
				sendJson(response, {host: name, decisions: [], dropped: true});

				break;
			}

			default: {
				if (method === 'POST' && url === '/admin/drain') {
					sendJson(response, {host: name, phase: 'leaving', unfinished: body === '{"grace":9}' ? 2 : 1}, 202);
				} else {
					sendJson(response, {error: {code: 1012, message: 'There is nothing at this path.'}}, 404);
				}
			}
		}
	};
}

describe('status', () => {
	it('shows hosts, upstreams and queues of the whole fleet in tables', async () => {
		await using a = await startServer(createHostHandler('a'));
		await using b = await startServer(createHostHandler('b'));
		const {code, out} = await runCommand(['status', '--hosts', `${a.address},${b.address}`]);
		expect(code).toBe(0);
		expect(out).toMatch(/^a +north +serving +7 +1\/1 +2 +1$/mv);
		expect(out).toMatch(/^n1 .*ready +4 +3 +1 +25% +style@2\+urdu +2\/2$/mv);
		expect(out).toMatch(/^check +4 +2 +3 s$/mv);
	});

	it('reports a host that does not answer by its exit code', async () => {
		await using a = await startServer(createHostHandler('a'));
		const {code, out, complaints} = await runCommand(['status', '--json', '--hosts', `${a.address},${unreachableAddress}`]);
		expect(code).toBe(70);
		expect(JSON.parse(out)).toHaveLength(1);
		expect(complaints).toMatch(/^error 7002: /v);
	});
});

describe('show', () => {
	it('shows which revision is in force on which host', async () => {
		await using a = await startServer(createHostHandler('a'));
		await using b = await startServer(createHostHandler('b', 8));
		const hosts = `${a.address},${b.address}`;
		const {code, out} = await runCommand(['show', '--hosts', hosts]);
		expect(code).toBe(1);
		expect(out.split('\n').slice(1, 3)).toEqual(['b            8  d8', 'a            7  d7']);
		expect(await runCommand(['show', '--document', '--hosts', hosts])).toMatchObject({out: '{"revision":8}'});
		expect(await runCommand(['show', '--hosts', a.address])).toMatchObject({code: 0});
	});
});

describe('drain', () => {
	it('finds the host by name', async () => {
		await using a = await startServer(createHostHandler('a'));
		await using b = await startServer(createHostHandler('b'));
		const {code, out} = await runCommand(['drain', 'b', '--grace', '9', '--hosts', `${a.address},${b.address}`]);
		expect({code, out}).toEqual({code: 0, out: 'b is leaving; 2 requests to finish.\n'});
		expect(await runCommand(['drain', 'c', '--hosts', a.address])).toMatchObject({code: 70});
	});

	it('waits until the host no longer answers', async () => {
		let statusRequests = 0;
		await using a = await startServer((request, response, body) => {
			statusRequests += request.url === '/admin/status' ? 1 : 0;
			if (statusRequests > 2) {
				response.destroy();
			} else {
				createHostHandler('a')(request, response, body);
			}
		});
		const {code, out} = await runCommand(['drain', a.address, '--wait']);
		expect(code).toBe(0);
		expect(out.trim().split('\n').at(-1)).toBe('a no longer answers.');
	});
});

describe('explain', () => {
	const timeline = [
		'1970-01-01T00:00:00.002Z',
		'+0 ms  a  Sent to n1 as attempt r1.1 for daily on check: less work of two (scores, lower is better: n1 10, n2 90.4)',
		'+3 ms  a  Outcome unknown: 4001 The request may have run. (cut)',
	];

	it('queries hosts', async () => {
		await using a = await startServer(createHostHandler('a'));
		await using b = await startServer(createHostHandler('b'));
		const {code, out} = await runCommand(['explain', 'r1', '--hosts', `${a.address},${b.address}`]);
		expect({code, lines: out.trim().split('\n')}).toEqual({code: 0, lines: timeline});
	});

	it('reads log lines in any order and skips those that are no decision about the request', async () => {
		const line = (time: number, {type, ...fields}: Readonly<Record<string, unknown>>) =>
			JSON.stringify({
				time: new Date(time).toISOString(), level: 'info', host: 'a', event: type, ...fields,
			});
		const log = [line(5, concluded), 'r1 no JSON', line(1, {...routed, request: 'r10', attempt: 'r10.1'}), line(2, routed), ''];
		const {out} = await runCommand(['explain', 'r1', '--log', '-'], log.join('\n'));
		expect(out.trim().split('\n')).toEqual(timeline);
		const unknown = line(7, {type: 'new-kind', attempt: 'r1.1', reason: 'x'});
		const generic = await runCommand(['explain', 'r1', '--log', '-'], unknown);
		expect(generic.out).toContain('new-kind, attempt r1.1, reason x');
	});

	it('reports that no decision is known, and why', async () => {
		await using a = await startServer(createHostHandler('a'));
		const {code, complaints} = await runCommand(['explain', 'r2', '--hosts', a.address]);
		expect(code).toBe(70);
		expect(complaints).toContain('a no longer keeps its older decisions');
		expect(complaints).toContain('error 7006');
	});
});
