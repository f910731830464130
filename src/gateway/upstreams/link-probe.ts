/** Finds out whether an upstream answers over a given connection. */
import {type Agent} from 'node:http';
import {type Socket} from 'node:net';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {type HealthClient, type HealthResult} from '../platform-adapter.js';
import {ConnectionAgent} from './connection-agent.js';

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
		const agent = new ConnectionAgent(socket);
		try {
			const result = await this.check(upstream, agent);
			return result.type !== 'ignored' || result.reason === 'invalid cold time';
		} finally {
			agent.destroy();
			socket.destroy();
		}
	}

	/**
	 * @param upstream - Upstream.
	 * @param agent - Sends the health check.
	 * @returns What it shows.
	 */
	async check(upstream: GatewayUpstream, agent: Agent): Promise<HealthResult> {
		const {createHealthClient, findHealthPath, onSent} = this.#options;
		onSent(upstream);
		return createHealthClient(agent).check({upstream: upstream.id, address: upstream.address, path: findHealthPath(upstream.service)});
	}
}
