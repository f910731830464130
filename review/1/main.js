#!/usr/bin/env node
/**
 * A gateway that is cut off from all engines sends its requests over other gateways. One of these is killed while it carries answers that
 * end with their connection. Exits with 1 if a caller got a part of an answer that looked complete.
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {sendRequest} from '../common/client.js';
import {configuration, createEntry, createHeaders} from '../common/configuration.js';
import {Gateways} from '../common/gateways.js';
import {Link} from '../common/link.js';
import {Record} from '../common/record.js';
import {runCase} from '../common/run-case.js';
import {Store} from '../common/store.js';
import {
	eventCount, formatAnswer, formatEvent, Server,
} from './server.js';

const hasTrouble = process.env.TROUBLE !== '0';
const gatewayCount = 3;
const serversPerService = 3;
const streams = 6;
const calls = 6;

/** Milliseconds from the streams, which last 3 s, to the calls, which last 0.6 s, and from these until a gateway is killed. */
const callDelayMs = 1200;
const killDelayMs = 300;

const record = new Record(import.meta.dirname);
const store = new Store();
const gateways = new Gateways();
const servers = [];
/** Links from each gateway to each server, by the key of the server's entry. */
const links = [];

function noteRun(request, server, first) {
	record.add(`run: ${request} at ${server} from event ${first}`);
}

async function startServers() {
	for (const service of ['pool', 'portal']) {
		for (let index = 0; index < serversPerService; index++) {
			const server = new Server(`i-${service}-${index}`, service === 'pool', noteRun);
			await server.listen();
			servers.push(server);
			store.put(`servers/${server.id}`, createEntry(service, server.port, `zone-${index}`));
		}
	}
}

/** Opens links from one gateway to all servers, and returns an address of the store that shows the links in their place. */
async function openLinks() {
	const own = new Map();
	for (const server of servers) {
		const link = new Link(server.port);
		await link.listen();
		own.set(`servers/${server.id}`, link);
	}

	links.push(own);
	return store.listen((key, value) => own.has(key) ? {...value, Address: `127.0.0.1:${own.get(key).port}`} : value);
}

async function askForStream(id) {
	record.add(`sent: ${id} to edge-0`);
	const answer = await sendRequest({
		port: gateways.all[0].ports.caller,
		path: '/lohu930/2f',
		method: 'POST',
		headers: {
			...createHeaders(id, 10_000), 'X-Model': 'm', 'X-Token-Count': '5000,1290', 'X-Prefix-Hash': `5c1e07a2:40,${id}:4960`,
		},
		body: 'question',
		timeout: 10_000,
	});
	const expected = Array.from({length: eventCount}, (_, index) => formatEvent(index + 1)).join('');
	return judge(id, answer, expected);
}

async function call(id) {
	record.add(`sent: ${id} to edge-0`);
	const answer = await sendRequest({
		port: gateways.all[0].ports.caller, path: '/cuti104/2f', headers: createHeaders(id, 2500), timeout: 2500,
	});
	return judge(id, answer, formatAnswer(id));
}

/** Returns whether the answer is a success that looks complete and is not the whole answer. */
function judge(id, {status, isComplete, body, detail}, expected) {
	const isPartial = status === 200 && isComplete && body !== expected;
	record.add(`answered: ${id} with ${status}, ${isComplete ? 'complete' : `cut off (${detail})`}, ${body.length} of ${expected.length} bytes${isPartial ? ': a part that looks complete' : ''}`);
	return isPartial;
}

function cutOff() {
	record.add('trouble: edge-0 is cut off from all servers');
	for (const link of links[0].values()) {
		link.cut();
	}
}

/** Kills the gateway over which most connections of the one that is cut off lead. */
async function killCarrier() {
	await sleep(callDelayMs + killDelayMs);
	if (!hasTrouble) {
		return;
	}

	const [, first, second] = links.map(own => [...own.values()].reduce((sum, link) => sum + link.size, 0));
	const gateway = gateways.all[first >= second ? 1 : 2];
	record.add(`trouble: ${gateway.name} is killed; ${first} connections lead over edge-1, ${second} over edge-2`);
	await gateway.kill();
}

async function callLater(index) {
	await sleep(callDelayMs);
	return call(`c${index}`);
}

async function play() {
	store.put('op/config', configuration);
	await startServers();
	const stores = [];
	for (let index = 0; index < gatewayCount; index++) {
		stores.push(await openLinks());
	}

	// The gateways reach the servers at different addresses, so that they need a key to know each other.
	await gateways.start(stores, {fleet: {keys: ['key of the gateways of one site']}});
	if (hasTrouble) {
		cutOff();
	}

	await sleep(1000);
	const partial = await Promise.all([
		...Array.from({length: streams}, async (_, index) => askForStream(`d${index}`)),
		...Array.from({length: calls}, async (_, index) => callLater(index)),
		killCarrier(),
	]);
	return partial.includes(true);
}

async function close() {
	await gateways.close();
	for (const server of servers) {
		server.close();
	}

	store.close();
}

await runCase({
	record, rule: 'MIXED', play, close,
});
