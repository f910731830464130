/**
 * Preloaded into entry daemons behind the fault proxy: binds outgoing connections to the host's own loopback address,
 * so that the proxy can tell which failure domain they come from. Real hosts have distinct addresses anyway.
 */
import {Socket, type TcpSocketConnectOpts} from 'node:net';
import process from 'node:process';

const sourceAddressVariable = 'FLEET_SOURCE_ADDRESS';

function isTcpConnectOptions(value: unknown): value is TcpSocketConnectOpts {
	return typeof value === 'object' && value !== null && 'port' in value;
}

function bindOutgoingConnections(address: string): void {
	Socket.prototype.connect = new Proxy(Socket.prototype.connect, {
		apply(connect, socket, parameters: unknown[]) {
			const first: unknown = parameters[0];
			// Node.js itself calls `connect` with one array whose first element is the target.
			const target: unknown = Array.isArray(first) ? first[0] : first;
			if (isTcpConnectOptions(target)) {
				target.localAddress ??= address;
			}

			const returned: unknown = Reflect.apply(connect, socket, parameters);
			return returned;
		},
	});
}

const sourceAddress = process.env[sourceAddressVariable];
if (sourceAddress !== undefined) {
	bindOutgoingConnections(sourceAddress);
}
