/** Finds out whether an upstream answers over a given connection. */
import {Agent} from 'node:http';
import {type Duplex} from 'node:stream';
import {type Socket} from 'node:net';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {type HealthClient, type HealthResult} from '../platform-adapter.js';

/** Uses one connection for one request. */
class ConnectionAgent extends Agent {
	readonly #socket: Socket;

	/**
	 * @param socket - Connection.
	 */
	constructor(socket: Socket) {
		super({keepAlive: false, maxSockets: 1});
		this.#socket = socket;
	}

	override createConnection(): Duplex {
		return this.#socket;
	}
}

export type LinkProbeOptions = {
	readonly createHealthClient: (agent: Agent) => HealthClient;
	/** Returns the path of the health checks of a service. */
	readonly findHealthPath: (service: string) => string;
	/** Called with each health check that is sent. */
	readonly onSent: (upstream: GatewayUpstream) => void;
};

export class LinkProbe {
	readonly #options: LinkProbeOptions;

	/**
	 * @param options - How to send health checks.
	 */
	constructor(options: LinkProbeOptions) {
		this.#options = options;
	}

	/**
	 * @param upstream - Upstream.
	 * @param socket - Established connection to it; it is closed.
	 * @returns Whether the upstream itself answered a health check, whatever the answer says.
	 */
	async isAnswered(upstream: GatewayUpstream, socket: Socket): Promise<boolean> {
		const result = await this.#check(upstream, socket);
		return result.type !== 'ignored' || result.reason === 'invalid cold time';
	}

	/**
	 * @param upstream - Upstream.
	 * @param socket - Established connection to it; it is closed.
	 * @returns Whether nothing answered a health check, or another upstream did.
	 */
	async isReplaced(upstream: GatewayUpstream, socket: Socket): Promise<boolean> {
		const result = await this.#check(upstream, socket);
		return result.type === 'ignored' && (result.reason === 'no response' || (result.reason === 'different id' && result.value !== undefined));
	}

	async #check(upstream: GatewayUpstream, socket: Socket): Promise<HealthResult> {
		const {createHealthClient, findHealthPath, onSent} = this.#options;
		const agent = new ConnectionAgent(socket);
		onSent(upstream);
		try {
			return await createHealthClient(agent).check({upstream: upstream.id, address: upstream.address, path: findHealthPath(upstream.service)});
		} finally {
			agent.destroy();
			socket.destroy();
		}
	}
}
