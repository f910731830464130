/** Ports for processes that must be told theirs before they start. */
import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {createServer} from 'node:net';
import process from 'node:process';

export type Ports = {
	readonly caller: number;
	readonly peer: number;
};

/** Below the ports that systems give to outgoing connections, which could take one before its process starts. */
const least = 10_000;
const most = 16_000;

/**
 * @param port - Port on loopback.
 * @returns Whether nothing listens there.
 */
export async function isFree(port: number): Promise<boolean> {
	const server = createServer();
	try {
		server.listen(port, '127.0.0.1');
		await once(server, 'listening');
	} catch {
		return false;
	}

	const closed = once(server, 'close');
	server.close();
	await closed;
	return true;
}

async function freePort(): Promise<number> {
	let port = randomInt(least, most);
	while (!await isFree(port)) {
		port = randomInt(least, most);
	}

	return port;
}

/**
 * @returns Two ports that were free just now.
 */
export async function freePorts(): Promise<Ports> {
	return {caller: await freePort(), peer: await freePort()};
}

/**
 * Ports of this worker of the test run, below those that connections take: two workers that draw from one range sometimes
 * draw the same port while neither of their processes listens yet.
 */
const firstPort = 16_000;
const portsOfWorker = 1500;
let nextPort = 0;

/**
 * @returns A port that was free just now and that nobody else of this process was given.
 */
export async function takePort(): Promise<number> {
	const worker = Number(process.env.VITEST_POOL_ID ?? 0) % 10;
	for (;;) {
		const port = firstPort + (worker * portsOfWorker) + (nextPort % portsOfWorker);
		nextPort++;
		if (await isFree(port)) {
			return port;
		}
	}
}
