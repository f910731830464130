/** A small deployment on loopback addresses: a store, servers and clients in this process, and gateways started as the deploy file says. */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer, request} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

export const loopback = '127.0.0.1';

/** Exit codes of a case. */
const ruleHeldCode = 0;
const ruleBrokenCode = 1;
const notRunCode = 2;

/** A case that lasts longer than this counts as one that couldn't run. */
const caseTimeoutMs = 115_000;

const readyTimeoutMs = 20_000;

/** Interval in which servers renew their entries, as `HeartbeatMs` of the settings. */
const heartbeatMs = 1200;

/** Key of the one tenant. */
export const apiKey = 'key-of-the-hall';

/** Whether the disruption takes place. */
export const isTroubled = process.env.TROUBLE !== '0';

export class CaseRecord {
	#file;
	#began = performance.now();

	constructor(file) {
		this.#file = file;
		writeFileSync(file, '');
	}

	/** Milliseconds since the case began. */
	get now() {
		return performance.now() - this.#began;
	}

	write(text) {
		appendFileSync(this.#file, `${(this.now / 1000).toFixed(3)} s  ${text}\n`);
	}
}

export async function findFreePort() {
	const server = createTcpServer();
	server.listen(0, loopback);
	await once(server, 'listening');
	const {port} = server.address();
	const closed = once(server, 'close');
	server.close();
	await closed;
	return port;
}

/** The platform's store: range, watch, and writes of the operator and the servers. */
export class Store {
	#server;
	#items = new Map();
	#history = [];
	#revision = 100;
	#watches = new Set();

	async listen() {
		this.#server = createServer((incoming, outgoing) => {
			this.#serve(incoming, outgoing);
		});
		this.#server.listen(0, loopback);
		await once(this.#server, 'listening');
	}

	get address() {
		return `${loopback}:${this.#server.address().port}`;
	}

	put(key, value) {
		this.#revision++;
		const item = {
			Key: key, Value: Buffer.from(JSON.stringify(value)).toString('base64'), Revision: this.#revision, Created: this.#items.get(key)?.Created ?? this.#revision, Lease: 0,
		};
		this.#items.set(key, item);
		this.#note(item);
	}

	remove(key) {
		this.#revision++;
		this.#items.delete(key);
		this.#note({Key: key, Revision: this.#revision, Deleted: true});
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#note(event) {
		this.#history.push(event);
		for (const watch of this.#watches) {
			this.#answer(watch);
		}
	}

	#serve(incoming, outgoing) {
		const url = new URL(incoming.url, 'http://store');
		const prefix = url.searchParams.get('Prefix') ?? '';
		if (url.pathname === '/v1/kv-range') {
			const keys = [...this.#items.keys()].filter(key => key.startsWith(prefix) && key > (url.searchParams.get('After') ?? '')).toSorted();
			const page = keys.slice(0, 50);
			this.#send(outgoing, {Items: page.map(key => this.#items.get(key)), MorePages: keys.length > page.length, AsOf: this.#revision});
			return;
		}

		if (url.pathname !== '/v1/kv-watch') {
			outgoing.writeHead(404).end();
			return;
		}

		const watch = {prefix, after: Number(url.searchParams.get('After')), outgoing};
		watch.timer = setTimeout(() => {
			this.#answer(watch, true);
		}, Number(url.searchParams.get('WaitMs')));
		this.#watches.add(watch);
		this.#answer(watch);
	}

	#answer(watch, isOver = false) {
		const events = this.#history.filter(({Key, Revision}) => Revision > watch.after && Key.startsWith(watch.prefix));
		if (events.length > 0 || isOver) {
			clearTimeout(watch.timer);
			this.#watches.delete(watch);
			this.#send(watch.outgoing, {events, AsOf: this.#revision});
		}
	}

	#send(outgoing, value) {
		const body = JSON.stringify(value);
		outgoing.writeHead(200, {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body), 'Store-Era': '1'});
		outgoing.end(body);
	}
}

/**
 * A sound server: answers health checks and orders, and leaves requests to a handler. It refuses requests that are for another instance.
 */
export class BackEnd {
	/** Ids of the requests that it has begun to work on, in order. */
	runs = [];
	state = 'ready';
	#options;
	#server;
	#sequence = 0;
	#born = Date.now();
	#tickets = new Map();

	/** @param options - `id`, `service`, `zone`, `slots`, `record`, and `handle(incoming, outgoing, body)`, called for each request. */
	constructor(options) {
		this.#options = options;
	}

	get id() {
		return this.#options.id;
	}

	get port() {
		return this.#server.address().port;
	}

	get entry() {
		this.#sequence++;
		const {service, zone = 'hall-nord', slots = 11} = this.#options;
		return {
			Service: service, Address: `${loopback}:${this.port}`, Zone: zone, Version: 'v1', Slots: slots, State: this.state, ColdRemainingMs: 0, Sequence: this.#sequence, born: this.#born,
		};
	}

	async listen() {
		this.#server = createServer({keepAliveTimeout: 8000}, async (incoming, outgoing) => {
			await this.#serve(incoming, outgoing);
		});
		this.#server.listen(0, loopback);
		await once(this.#server, 'listening');
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #serve(incoming, outgoing) {
		const chunks = [];
		try {
			for await (const chunk of incoming) {
				chunks.push(chunk);
			}
		} catch {
			return;
		}

		const body = Buffer.concat(chunks);
		const {id, record, handle, answerOrder} = this.#options;
		const requestId = incoming.headers['x-request-id'];
		const expected = incoming.headers['x-expect-instance'];
		if (expected !== undefined && expected !== id) {
			outgoing.writeHead(421, {'X-Not-Executed': '1', ...(requestId !== undefined && {'X-Request-Id': requestId})}).end();
			return;
		}

		if (incoming.url === '/healthz') {
			outgoing.writeHead(this.state === 'ready' ? 200 : 503, {'X-Instance-Id': id, 'Content-Length': 0}).end();
			return;
		}

		if (incoming.url === '/v1/order') {
			const order = JSON.parse(body.toString());
			record.write(`${id} gets the order ${body.toString()}`);
			if (answerOrder === undefined) {
				this.#takeOrder(order, outgoing);
			} else {
				answerOrder(order, outgoing);
			}

			return;
		}

		this.runs.push(requestId);
		record.write(`${id} runs ${requestId}`);
		await handle(incoming, outgoing, body);
	}

	#takeOrder({Operation: operation, Id: name, Tokens: tokens}, outgoing) {
		if (operation === 'reserve') {
			this.#tickets.set(name, tokens);
			sendJson(outgoing, 200, {Free: 100_000});
		} else {
			sendJson(outgoing, this.#tickets.delete(name) ? 200 : 409, {});
		}
	}
}

export function sendJson(outgoing, status, value) {
	const body = JSON.stringify(value);
	outgoing.writeHead(status, {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body)});
	outgoing.end(body);
}

/** A gateway process, started with the command of the deploy file. */
export class Gateway {
	name;
	host = loopback;
	port;
	readyPort;
	child;
	lines = [];
	#directory;
	#settingsFile;

	constructor(name, directory) {
		this.name = name;
		this.#directory = directory;
	}

	async configure(store, seeds, settings) {
		this.port = await findFreePort();
		this.readyPort = await findFreePort();
		this.peerPort = await findFreePort();
		const metricsPort = await findFreePort();
		const tunnelPort = await findFreePort();
		this.#settingsFile = path.join(this.#directory, `${this.name}.json`);
		writeFileSync(this.#settingsFile, JSON.stringify({
			host: this.name,
			failureDomain: 'hall-nord',
			caller: `${loopback}:${this.port}`,
			ready: `${loopback}:${this.readyPort}`,
			peer: `${loopback}:${this.peerPort}`,
			metrics: `${loopback}:${metricsPort}`,
			tunnel: `${loopback}:${tunnelPort}`,
			processor: {cores: 1, share: 0.675},
			seeds: seeds.length === 0 ? [`${loopback}:${this.peerPort}`] : seeds,
			store,
			grace: 8000,
			revocation: 5000,
			configurationDelay: 2000,
			drainDelay: 2000,
			memory: 350,
			retries: {ratio: 0.2, window: 10_000, allowance: 102},
			...settings,
		}));
	}

	/**
	 * Uses settings that were made otherwise.
	 *
	 * @param text - Content of the settings file.
	 * @param addresses - `host`, and the ports for callers and for readiness checks.
	 */
	use(text, {host, port, readyPort}) {
		this.host = host;
		this.port = port;
		this.readyPort = readyPort;
		this.#settingsFile = path.join(this.#directory, `${this.name}.json`);
		writeFileSync(this.#settingsFile, text);
	}

	start() {
		const command = /^run = "(?<command>[^"]+)"$/mv.exec(readFileSync('deploy/system.toml', 'utf8')).groups.command.split(' ');
		this.child = spawn(command[0], command.slice(1), {
			env: {...process.env, CRANBERRYTIDE_CONFIG: this.#settingsFile}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		let rest = '';
		this.child.stdout.on('data', chunk => {
			const parts = (rest + String(chunk)).split('\n');
			rest = parts.pop();
			this.lines.push(...parts);
		});
		this.child.stderr.on('data', chunk => {
			this.lines.push(String(chunk));
		});
	}

	get isRunning() {
		return this.child.exitCode === null && this.child.signalCode === null;
	}

	async isReady() {
		const answer = await ask({
			host: this.host, port: this.readyPort, path: '/v1/readyz', timeout: 1000,
		});
		return answer.status === 200;
	}

	kill() {
		if (this.child !== undefined && this.isRunning) {
			this.child.kill('SIGKILL');
		}
	}
}

/**
 * Sends a request as a client does.
 *
 * @returns The status (0 without an answer), the body, whether the answer is complete by its framing, and what failed.
 */
export async function ask({host = loopback, port, path: target, method = 'GET', id, headers = {}, body, timeout = 15_000, agent}) {
	const began = performance.now();
	return new Promise(resolve => {
		let status = 0;
		let answerHeaders = {};
		const chunks = [];
		const finish = (isWhole, failure) => {
			clearTimeout(timer);
			resolve({
				status, headers: answerHeaders, body: Buffer.concat(chunks).toString('latin1'), isWhole, failure, took: Math.round(performance.now() - began),
			});
		};

		const outgoing = request({
			host,
			port,
			path: target,
			method,
			agent,
			headers: {...(id !== undefined && {'X-Request-Id': id}), ...headers, ...(body !== undefined && {'Content-Length': body.length})},
		}, incoming => {
			status = incoming.statusCode;
			answerHeaders = incoming.headers;
			incoming.on('data', chunk => {
				chunks.push(chunk);
			});
			incoming.on('end', () => {
				finish(incoming.complete);
			});
			incoming.on('error', error => {
				finish(false, error.message);
			});
		});
		const timer = setTimeout(() => {
			outgoing.destroy(new Error('the client gives up'));
			finish(false, 'the client gives up');
		}, timeout);
		outgoing.on('error', error => {
			finish(false, error.message);
		});
		outgoing.end(body);
	});
}

/** Headers that every client sends. */
export function callerHeaders(deadline, more = {}) {
	return {
		Host: 'hall.example', Authorization: `Bearer ${apiKey}`, 'X-Deadline-Ms': String(deadline), ...more,
	};
}

/** Routes like those of the small deployments. */
const portalRoute = {
	Hostname: 'hall.example', TimeoutMs: 2500, TargetLatencyMs: 193, Priority: 2, Service: 'coop-portal', MaxAttempts: 2,
};
const routes = [
	{
		Name: 'crew-query',
		Hostname: 'hall.example',
		Prefix: '/crew/',
		RouteType: 'streaming',
		TimeoutMs: 10_000,
		TargetLatencyMs: 300,
		Priority: 1,
		Service: 'cranberrytide-pool',
		MaxAttempts: 2,
		SessionAffinity: true,
		StreamResume: false,
		GapTargetMs: 250,
	},
	{
		...portalRoute, Name: 'dues-payment', Prefix: '/dues/', RouteType: 'unsafe',
	},
	{
		...portalRoute, Name: 'member-booking', Prefix: '/booking/', RouteType: 'safe',
	},
];

/** `Engine` of the model service. */
const engine = JSON.parse(readFileSync('review/common-2/engine.json', 'utf8'));

export function createConfiguration(version, change = {}) {
	return {
		Version: version,
		Routes: routes,
		Services: [
			{
				Name: 'cranberrytide-pool', HealthPath: '/healthz', MaxConnections: 344, Engine: engine,
			},
			{Name: 'coop-portal', HealthPath: '/healthz', MaxConnections: 49},
		],
		Limits: {
			MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
		},
		Tenants: [{Name: 'hall', ApiKeys: [apiKey], Priority: 1}],
		...change,
	};
}

/** The store, servers and gateways of one case. */
export class Site {
	record;
	store = new Store();
	gateways = [];
	backEnds = [];
	#directory = mkdtempSync(path.join(tmpdir(), 'review-'));
	#beats;

	constructor(record) {
		this.record = record;
	}

	async start({backEnds, gateways = 1, configuration = createConfiguration(1), settings = {}, configure}) {
		await this.store.listen();
		for (const backEnd of backEnds) {
			await backEnd.listen();
			this.backEnds.push(backEnd);
			this.register(backEnd);
		}

		this.store.put('op/config', configuration);
		this.#beats = setInterval(() => {
			for (const backEnd of this.backEnds) {
				this.register(backEnd);
			}
		}, heartbeatMs);
		for (let index = 0; index < gateways; index++) {
			const gateway = new Gateway(`edge-hall-nord-${index + 1}`, this.#directory);
			await (configure === undefined
				? gateway.configure(this.store.address, this.gateways.map(({peerPort}) => `${loopback}:${peerPort}`), settings)
				: configure(gateway, this.store.address));
			this.gateways.push(gateway);
			gateway.start();
		}

		await Promise.all(this.gateways.map(async gateway => this.waitUntilReady(gateway)));
		this.record.write('all gateways are ready');
	}

	register(backEnd) {
		this.store.put(`servers/${backEnd.id}`, backEnd.entry);
	}

	async waitUntilReady(gateway) {
		const end = performance.now() + readyTimeoutMs;
		while (performance.now() < end) {
			if (await gateway.isReady()) {
				return;
			}

			await sleep(50);
		}

		throw new Error(`${gateway.name} is not ready: ${gateway.lines.slice(-3).join('\n')}`);
	}

	close() {
		clearInterval(this.#beats);
		for (const gateway of this.gateways) {
			gateway.kill();
		}

		for (const backEnd of this.backEnds) {
			backEnd.close?.();
		}

		this.store.close();
		rmSync(this.#directory, {recursive: true, force: true});
	}
}

/**
 * Runs a case and ends this process with its exit code.
 *
 * @param play - Plays the case; returns what breaks the rule, or undefined if it holds.
 */
export async function runCase(directory, play) {
	const record = new CaseRecord(path.join(directory, 'record.txt'));
	record.write(isTroubled ? 'with the disruption' : 'without the disruption');
	const site = new Site(record);
	const timer = setTimeout(() => {
		record.write('the case took too long');
		site.close();
		// eslint-disable-next-line unicorn/no-process-exit -- This is the main function of a case.
		process.exit(notRunCode);
	}, caseTimeoutMs);
	let code = notRunCode;
	try {
		const broken = await play(site, record);
		record.write(broken === undefined ? 'the rule held' : `the rule was broken: ${broken}`);
		console.log(broken ?? 'the rule held');
		code = broken === undefined ? ruleHeldCode : ruleBrokenCode;
	} catch (error) {
		record.write(`the case could not run: ${error.stack}`);
		console.error(error);
	} finally {
		clearTimeout(timer);
		site.close();
	}

	// eslint-disable-next-line unicorn/no-process-exit -- This is the main function of a case.
	process.exit(code);
}
