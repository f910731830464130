/** Requests whose bodies end late in a planned stop: each one is answered whole, or refused as not run. */
import {once} from 'node:events';
import {Agent, request, type IncomingMessage} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {createPromptHeaders} from '../../bench/gateway/caller-requests.js';
import {apiKey, createConfiguration, routes} from '../../bench/gateway/configuration.js';
import {Site} from '../../bench/gateway/site.js';

let site: Site | undefined;

afterEach(async () => {
	await site?.[Symbol.asyncDispose]();
	site = undefined;
});

type Upload = {
	readonly id: string;
	readonly path: string;
	/** Milliseconds after the head, and after SIGTERM, at which its body ends. */
	readonly endsAt: number;
	/** Events of its answer; none for plain services. */
	readonly events?: number;
};

type Result = Upload & {
	/** Undefined if its connection ended without an answer. */
	readonly status?: number;
	readonly isWhole: boolean;
};

async function readToEnd(incoming: IncomingMessage): Promise<boolean> {
	incoming.on('error', () => {
		// The answer isn't complete then.
	});
	incoming.resume();
	await once(incoming, 'close');
	return incoming.complete;
}

/** Sends the head and half of the body of a request, and the rest later. */
async function upload(deployment: Site, each: Upload): Promise<Result> {
	const {host, port} = deployment.hosts[0]!.caller;
	const outgoing = request({
		host, port, path: each.path, method: 'POST', agent: new Agent(), headers: {
			Host: 'api.example', Authorization: `Bearer ${apiKey}`, 'X-Deadline-Ms': '8000', 'X-Request-Id': each.id, 'Content-Length': 2, ...(each.events !== undefined && createPromptHeaders(2000, each.events)),
		},
	});
	const answer = new Promise<IncomingMessage | undefined>(resolve => {
		outgoing.once('response', resolve);
		outgoing.once('error', () => {
			resolve(undefined);
		});
	});
	outgoing.write('b');
	await sleep(each.endsAt);
	outgoing.end('b');
	const incoming = await answer;
	return incoming === undefined ? {...each, isWhole: false} : {...each, status: incoming.statusCode, isWhole: await readToEnd(incoming)};
}

const uploads: readonly Upload[] = Array.from({length: 12}, (_, index) => index).flatMap((index): readonly Upload[] => [
	{id: `once-${index}`, path: '/once/x', endsAt: 400 + (index * 450)},
	{id: `read-${index}`, path: '/read/x', endsAt: 500 + (index * 450)},
	{
		id: `ask-${index}`, path: '/ask/x', endsAt: 600 + (index * 450), events: 150,
	},
]);

/** Milliseconds of the plain answers of the site. */
const answerDelayMs = 20;

/** Starts a deployment whose requests have time for slow bodies. */
async function startSite(grace: number): Promise<Site> {
	const deployment = await Site.start({settings: {grace}});
	deployment.store.put('op/config', createConfiguration(2, {Routes: routes.map(route => ({...route, TimeoutMs: 8000}))}));
	await expect.poll(() => deployment.hosts[0]!.findLogLines('configuration').at(-1)?.version, {timeout: 5000}).toBe(2);
	return deployment;
}

describe('a stop', () => {
	it.each([[3250, 1], [5500, 3], [6000, 2], [7125, 1]])('with a grace period of %s ms cuts no request whose body ends late, and serves those that it has time for (signals: %s)', async (grace, signals) => {
		const deployment = await startSite(grace);
		site = deployment;
		const [host] = deployment.hosts;
		const exited = once(host!.process, 'exit');
		await Promise.all(['/once/x', '/read/x'].map(async path => deployment.ask({path, id: `before-${path}`})));
		const results = Promise.all(uploads.filter(({endsAt}) => endsAt < grace - 1000).map(async each => upload(deployment, each)));
		await sleep(100);
		for (let signal = 0; signal < signals; signal++) {
			host!.process.kill('SIGTERM');
			await sleep(150);
		}

		const answers = await results;
		expect(answers.filter(({isWhole}) => !isWhole)).toEqual([]);
		expect(answers.filter(({status}) => status !== 200 && status !== 503)).toEqual([]);
		expect(answers.filter(({id, status}) => status === 503 && deployment.ledger.findRuns(id).length > 0)).toEqual([]);
		const unserved = answers.filter(({endsAt, events, status}) => status !== 200 && events === undefined && endsAt + answerDelayMs < grace - 1600);
		expect(unserved).toEqual([]);
		expect(await exited).toEqual([0, null]);
	});
});

it('a request whose body doesn\'t end is refused before the host is gone', async () => {
	const deployment = await startSite(4000);
	site = deployment;
	const answer = upload(deployment, {id: 'endless', path: '/once/x', endsAt: 6000});
	await sleep(100);
	deployment.hosts[0]!.process.kill('SIGTERM');
	const {status} = await answer;
	expect(status).toBe(503);
});
