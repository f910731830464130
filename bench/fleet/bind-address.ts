/**
 * Preloaded into entry daemons behind the fault proxy: binds outgoing connections to the host's own loopback address,
 * by which the proxy knows the failure domain that they come from. Real hosts have that by having their own addresses.
 */
import {Socket, type TcpSocketConnectOpts} from 'node:net';
import process from 'node:process';

const sourceVariable = 'FLEET_SOURCE_ADDRESS';

function isTcp(value: unknown): value is TcpSocketConnectOpts {
	return typeof value === 'object' && value !== null && 'port' in value;
}

function install(source: string): void {
	Socket.prototype.connect = new Proxy(Socket.prototype.connect, {
		apply(connect, socket, parameters: unknown[]) {
			const first: unknown = parameters[0];
			// Node's own callers hand over one array whose first element has the target.
			const target: unknown = Array.isArray(first) ? first[0] : first;
			if (isTcp(target)) {
				target.localAddress ??= source;
			}

			const returned: unknown = Reflect.apply(connect, socket, parameters);
			return returned;
		},
	});
}

const source = process.env[sourceVariable];
if (source !== undefined) {
	install(source);
}
