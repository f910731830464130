/** Starts gateways as the deploy file does, with settings like those that its template gives in a small deployment. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {sendRequest} from './client.js';

const loopback = '127.0.0.1';
const readyTimeoutMs = 30_000;
const portsPerGateway = 5;

function readCommand() {
	const text = readFileSync('deploy/system.toml', 'utf8');
	return /^run = "(?<command>[^"]+)"/mv.exec(text).groups.command.split(' ');
}

/** Returns free ports; all are held until the last one is known. */
async function findPorts(count) {
	const servers = [];
	while (servers.length < count) {
		const server = createServer();
		server.listen(0, loopback);
		await once(server, 'listening');
		servers.push(server);
	}

	const ports = servers.map(server => server.address().port);
	for (const server of servers) {
		server.close();
		await once(server, 'close');
	}

	return ports;
}

class Gateway {
	lines = [];
	#process;
	#file;

	constructor(name, ports, file) {
		this.name = name;
		this.ports = ports;
		this.#file = file;
	}

	get pid() {
		return this.#process.pid;
	}

	/** Exit code or signal of the process; undefined while it runs. */
	get ending() {
		return this.#process.exitCode ?? this.#process.signalCode ?? undefined;
	}

	start() {
		const [program, ...words] = readCommand();
		this.#process = spawn(program, words, {env: {PATH: process.env.PATH, HOME: process.env.HOME, CRANBERRYTIDE_CONFIG: this.#file}, stdio: ['ignore', 'pipe', 'pipe']});
		for (const stream of [this.#process.stdout, this.#process.stderr]) {
			stream.setEncoding('utf8').on('data', text => {
				this.lines.push(...text.split('\n').filter(line => line !== ''));
			});
		}
	}

	/** Sends a signal to the process. */
	signal(name) {
		return this.#process.kill(name);
	}

	async kill() {
		if (this.ending === undefined) {
			const ended = once(this.#process, 'exit');
			this.signal('SIGKILL');
			await ended;
		}
	}

	async waitUntilReady() {
		const end = performance.now() + readyTimeoutMs;
		while (performance.now() < end) {
			const {status} = await sendRequest({port: this.ports.ready, path: '/v1/readyz'});
			if (status === 200) {
				return;
			}

			await sleep(50);
		}

		throw new Error(`${this.name} isn't ready`);
	}
}

export class Gateways {
	#directory = mkdtempSync(path.join(tmpdir(), 'review-'));
	all = [];

	/**
	 * Starts gateways, each in a zone of its own, and waits until they are ready and know each other.
	 *
	 * @param stores - Address of the store for each of them.
	 * @param settings - Further settings.
	 */
	async start(stores, settings = {}) {
		const ports = await findPorts(stores.length * portsPerGateway);
		const peers = stores.map((_, index) => `${loopback}:${ports[(index * portsPerGateway) + 2]}`);
		for (const [index, store] of stores.entries()) {
			const [caller, ready, , metrics, tunnel] = ports.slice(index * portsPerGateway);
			const file = path.join(this.#directory, `${index}.json`);
			const name = `edge-${index}`;
			writeFileSync(file, JSON.stringify({
				host: name,
				failureDomain: `zone-${index}`,
				caller: `${loopback}:${caller}`,
				ready: `${loopback}:${ready}`,
				peer: peers[index],
				metrics: `${loopback}:${metrics}`,
				tunnel: `${loopback}:${tunnel}`,
				processor: {cores: 1, share: 0.675},
				seeds: peers.slice(0, 3),
				store,
				grace: 8000,
				revocation: 5000,
				configurationDelay: 2000,
				drainDelay: 2000,
				memory: 350,
				retries: {ratio: 0.2, window: 10_000, allowance: 102},
				...settings,
			}));
			this.all.push(new Gateway(name, {caller, ready}, file));
		}

		for (const gateway of this.all) {
			gateway.start();
		}

		for (const gateway of this.all) {
			await gateway.waitUntilReady();
		}

		// Hosts that start together find each other within a moment.
		await sleep(1500);
	}

	async close() {
		await Promise.all(this.all.map(async gateway => gateway.kill()));
		rmSync(this.#directory, {recursive: true, force: true});
	}
}
