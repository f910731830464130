/** Ports for processes that must be told theirs before they start. */
import {once} from 'node:events';
import {createServer, type Server} from 'node:net';

export type Ports = {
	readonly caller: number;
	readonly peer: number;
};

async function open(): Promise<Server> {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return server;
}

async function close(server: Server): Promise<number> {
	const address = server.address();
	const closed = once(server, 'close');
	server.close();
	await closed;
	return typeof address === 'object' ? address?.port ?? 0 : 0;
}

/**
 * @returns Two ports that were free just now.
 */
export async function freePorts(): Promise<Ports> {
	const servers = [await open(), await open()] as const;
	return {caller: await close(servers[0]), peer: await close(servers[1])};
}
