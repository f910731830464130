/** Client of the platform's configuration service and host list. */
import {type Address, type Member} from '../core/index.js';
import {client} from '../protocol/http/client.js';
import {hostsSchema} from './protocol.js';

/** Added to the requested wait of a long poll. */
const answerTimeoutMs = 3000;

const noContentStatus = 204;

export type HostList = {
	readonly members: readonly Member[];
	readonly leaving: readonly string[];
};

export class PlatformClient {
	readonly #address: Address;
	#calls = 0;

	constructor(address: Address) {
		this.#address = address;
	}

	/** Number of calls made so far. */
	get calls(): number {
		return this.#calls;
	}

	/**
	 * Waits for a configuration with a higher revision than the given one.
	 *
	 * @param above - Revision in force; with 0 the current document is returned at once.
	 * @param wait - Maximum wait in milliseconds.
	 * @param signal - Aborts the call.
	 * @returns Text of the document, or undefined if the wait ended without a higher revision.
	 */
	async watchConfiguration(above: number, wait: number, signal: AbortSignal): Promise<string | undefined> {
		const query = above === 0 ? '' : `?above=${above}&wait=${wait}`;
		const response = await this.#get(`/v1/configuration${query}`, wait, signal);
		return response.statusCode === noContentStatus ? undefined : response.body;
	}

	/**
	 * @param signal - Aborts the call.
	 * @returns The hosts that the platform lists, with a lag.
	 */
	async readHosts(signal: AbortSignal): Promise<HostList> {
		const {body} = await this.#get('/v1/hosts', 0, signal);
		const {hosts} = hostsSchema.parse(JSON.parse(body));
		return {
			members: hosts.map(host => ({
				incarnation: {host: host.id, started: host.started},
				failureDomain: host.failureDomain,
				peerAddress: host.peerAddress,
				callerAddress: host.callerAddress,
			})),
			leaving: hosts.filter(host => host.leaving).map(host => host.id),
		};
	}

	async #get(path: string, wait: number, signal: AbortSignal) {
		this.#calls++;
		return client(`http://${this.#address.host}:${this.#address.port}${path}`, {
			retry: {limit: 0},
			timeout: {request: wait + answerTimeoutMs},
			signal,
		});
	}
}
