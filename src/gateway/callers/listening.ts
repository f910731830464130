/** Opens and closes HTTP servers. */
import {once} from 'node:events';
import {type Server} from 'node:http';
import {type Address} from '../../core/index.js';

/** Pending connections: a balancer sends here those of a whole failure domain when its other hosts have failed. */
const backlog = 1024;

/**
 * @param server - Server to start.
 * @param address - Address to listen on.
 */
export async function openServer(server: Server, {host, port}: Address): Promise<void> {
	server.listen({port, host, backlog});
	await once(server, 'listening');
}

/**
 * @param server - Server to close together with all its connections.
 */
export async function closeServer(server: Server): Promise<void> {
	const closed = once(server, 'close');
	server.close();
	server.closeAllConnections();
	await closed;
}
