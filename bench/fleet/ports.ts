/** Ports for processes that must be told theirs before they start. */
import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {
	linkSync, mkdirSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';

export type Ports = {
	readonly caller: number;
	readonly peer: number;
};

/** Below the ports that systems give to outgoing connections, which could take one before its process starts. */
const least = 10_000;
const most = 16_000;

/** Files named by ports, each with the process that has taken it: test runs on one machine draw from the same ranges. */
const claims = path.join(tmpdir(), 'cranberrytide-ports');

function isRunning(pid: number): boolean {
	try {
		process.kill(pid, 0);
		return true;
	} catch {
		return false;
	}
}

/** The process that has claimed a port, if it runs. */
function ownerOf(file: string): number | undefined {
	try {
		const owner = Number(readFileSync(file, 'utf8'));
		return owner > 0 && isRunning(owner) ? owner : undefined;
	} catch {
		// Nobody has claimed it.
		return undefined;
	}
}

/**
 * Takes a port for a process, until it ends.
 *
 * @param port - Port.
 * @param pid - The process.
 * @returns Whether no other running process has it.
 */
export function claimPort(port: number, pid = process.pid): boolean {
	mkdirSync(claims, {recursive: true});
	const file = path.join(claims, String(port));
	const owner = ownerOf(file);
	if (owner !== undefined) {
		return owner === pid;
	}

	// The claim appears with its owner in it: an empty file would look like nobody's.
	const draft = `${file}.${process.pid}`;
	writeFileSync(draft, String(pid));
	rmSync(file, {force: true});
	try {
		linkSync(draft, file);
		return true;
	} catch {
		// Another process was quicker.
		return false;
	} finally {
		rmSync(draft);
	}
}

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
	while (!claimPort(port) || !await isFree(port)) {
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
 * @returns A port that was free just now and that no other running process was given.
 */
export async function takePort(): Promise<number> {
	const worker = Number(process.env.VITEST_POOL_ID ?? 0) % 10;
	for (;;) {
		const port = firstPort + (worker * portsOfWorker) + (nextPort % portsOfWorker);
		nextPort++;
		if (claimPort(port) && await isFree(port)) {
			return port;
		}
	}
}
