/** Opens and closes HTTP servers. */
import {once} from 'node:events';
import {type Server} from 'node:http';
import {type Address} from '../core/index.js';

/** Connections that may wait to be accepted: a balancer sends those of a whole failure domain when its other hosts are gone. */
const backlog = 1024;

/**
 * @param server - Server to open.
 * @param address - Where it listens.
 */
export async function open(server: Server, {host, port}: Address): Promise<void> {
	server.listen({port, host, backlog});
	await once(server, 'listening');
}

/**
 * @param server - Server to close, with all its connections.
 */
export async function close(server: Server): Promise<void> {
	const closed = once(server, 'close');
	server.close();
	server.closeAllConnections();
	await closed;
}
