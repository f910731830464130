/** The fleet harness itself: serving, replacing hosts and partitions, with real processes. */
import got from 'got';
import {describe, expect, it} from 'vitest';
import {Fleet} from '../bench/fleet/fleet.js';
import {getApiKey, type FleetShapeInput} from '../bench/fleet/shape.js';
import {calculateAnswerLength, generateAnswer, digestPrompt} from '../stand-ins/engine/answer.js';
import {renderPrompt} from '../src/protocol/blocks.js';

const messages = [{role: 'user', content: 'one line'}];

function buildShape(isProxied: boolean): FleetShapeInput {
	return {
		isProxied,
		timeScale: 20,
		domains: ['a', 'b'],
		hosts: [1],
		engines: [{service: 'check', perDomain: 1}],
		plains: [{service: 'book', perDomain: 1}],
		services: [
			{
				kind: 'model', id: 'check', model: 'm', idempotent: true, deadline: {default: 10_000, most: 20_000},
			},
			{
				kind: 'plain', id: 'book', idempotent: false, deadline: {default: 10_000, most: 20_000},
			},
		],
		organisations: [{id: 'one'}],
	};
}

async function sendPrompt(fleet: Fleet, host: string): Promise<string> {
	const {caller} = fleet.hosts.get(host);
	const answer = await got.post(`http://${caller.host}:${caller.port}/v1/chat/completions`, {
		json: {model: 'check', messages, max_tokens: 20},
		headers: {authorization: `Bearer ${getApiKey('one')}`},
		retry: {limit: 0},
	}).json<{choices: Array<{message: {content: string}}>}>();
	return answer.choices[0]!.message.content;
}

function getExpectedAnswer(): string {
	const digest = digestPrompt(renderPrompt(messages));
	return generateAnswer(digest, calculateAnswerLength(digest, {least: 16, most: 256}, 20));
}

async function fetchRevision(fleet: Fleet, host: string): Promise<number> {
	const {admin} = fleet.hosts.get(host);
	const {revision} = await got(`http://${admin!.host}:${admin!.port}/admin/status`).json<{revision: number}>();
	return revision;
}

async function waitForRevision(fleet: Fleet, host: string, revision: number): Promise<void> {
	while (await fetchRevision(fleet, host) < revision) {
		await new Promise(resolve => {
			setTimeout(resolve, 20);
		});
	}
}

describe('fleet', () => {
	for (const isProxied of [false, true]) {
		it(`serves through every host ${isProxied ? 'with' : 'without'} fault proxies and replaces a host`, async () => {
			await using fleet = await Fleet.start(buildShape(isProxied));
			expect(await sendPrompt(fleet, 'a-host-1')).toBe(getExpectedAnswer());
			expect(await sendPrompt(fleet, 'b-host-1')).toBe(getExpectedAnswer());
			await fleet.replaceHost('a-host-1');
			await fleet.hosts.waitUntilReady();
			expect(await sendPrompt(fleet, 'a-host-1')).toBe(getExpectedAnswer());
			const executions = await fleet.upstreams.fetchExecutions();
			expect(executions.reduce((sum, each) => sum + each.counters.finished, 0)).toBe(3);
		});
	}

	it('isolates a failure domain from the others and the platform, but not from callers', async () => {
		await using fleet = await Fleet.start(buildShape(true));
		fleet.partition(['a'], ['b', 'platform']);
		const revision = await fleet.publish(before => before);
		await waitForRevision(fleet, 'b-host-1', revision);
		expect(await fetchRevision(fleet, 'a-host-1')).toBe(revision - 1);
		expect(await sendPrompt(fleet, 'a-host-1')).toBe(getExpectedAnswer());
		fleet.heal();
		await waitForRevision(fleet, 'a-host-1', revision);
	});
});
