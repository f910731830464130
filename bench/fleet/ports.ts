/** Picks free ports for processes that need their port before they start. */
import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {
	mkdirSync, readFileSync, rmdirSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';

export type Ports = {
	readonly caller: number;
	readonly peer: number;
};

/**
 * Range of random ports, the upper end excluded. It lies below the ephemeral port range: an outgoing connection could
 * otherwise take a port before its process listens on it.
 */
const minPort = 10_000;
const maxPort = 16_000;

/**
 * Holds a file for each claimed port with the id of its process, since test runs on one machine use the same ranges, and a directory while a
 * claim is being made. A process that is killed meanwhile makes its port unusable.
 */
const claimDirectory = path.join(tmpdir(), 'cranberrytide-ports');

function isRunning(pid: number): boolean {
	try {
		process.kill(pid, 0);
		return true;
	} catch {
		return false;
	}
}

/** Returns the id of the process that claimed a port, if it still runs. */
function findOwner(file: string): number | undefined {
	try {
		const owner = Number(readFileSync(file, 'utf8'));
		return owner > 0 && isRunning(owner) ? owner : undefined;
	} catch {
		// The port is not claimed.
		return undefined;
	}
}

/**
 * Claims a port for a process until the process ends.
 *
 * @returns Whether the process has the port now; false if another running process claimed it.
 */
export function claimPort(port: number, pid = process.pid): boolean {
	mkdirSync(claimDirectory, {recursive: true});
	const file = path.join(claimDirectory, String(port));
	const lock = `${file}.lock`;
	try {
		// Two processes that find the claim of an ended one would otherwise both replace it.
		mkdirSync(lock);
	} catch {
		return false;
	}

	try {
		const owner = findOwner(file);
		if (owner === undefined) {
			writeFileSync(file, String(pid));
		}

		return owner === undefined || owner === pid;
	} finally {
		rmdirSync(lock);
	}
}

/** Returns whether nothing listens on a loopback port. */
export async function isPortFree(port: number): Promise<boolean> {
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

async function claimRandomPort(): Promise<number> {
	let port = randomInt(minPort, maxPort);
	while (!claimPort(port) || !await isPortFree(port)) {
		port = randomInt(minPort, maxPort);
	}

	return port;
}

/** Claims two ports that are free at the moment. */
export async function claimRandomPorts(): Promise<Ports> {
	return {caller: await claimRandomPort(), peer: await claimRandomPort()};
}

/**
 * Start of the ranges of test workers, also below the ephemeral ports. Each worker has a range of its own: two workers that
 * share one sometimes pick the same port while neither of their processes listens yet.
 */
const firstWorkerPort = 16_000;
const portsPerWorker = 1500;
let nextPortOffset = 0;

/** Claims a port of this test worker's range that is free at the moment. */
export async function claimWorkerPort(): Promise<number> {
	const worker = Number(process.env.VITEST_POOL_ID ?? 0) % 10;
	for (;;) {
		const port = firstWorkerPort + (worker * portsPerWorker) + (nextPortOffset % portsPerWorker);
		nextPortOffset++;
		if (claimPort(port) && await isPortFree(port)) {
			return port;
		}
	}
}
