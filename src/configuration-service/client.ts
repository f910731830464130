/** Reads the platform's configuration service and host list. */
import got from 'got';
import {type Address, type Member} from '../core/index.js';
import {hostsSchema} from './protocol.js';

/** Milliseconds that an answer may take beyond the wait asked for. */
const answerTimeout = 3000;

const nothingNew = 204;

export type HostList = {
	readonly members: readonly Member[];
	readonly leaving: readonly string[];
};

export class Platform {
	readonly #address: Address;
	#calls = 0;

	/**
	 * @param address - Where the platform listens.
	 */
	constructor(address: Address) {
		this.#address = address;
	}

	/** Calls made so far. */
	get calls(): number {
		return this.#calls;
	}

	/**
	 * @param above - Revision already in force; 0 reads the document at once.
	 * @param wait - Milliseconds to wait for a higher one.
	 * @param signal - Ends the wait.
	 * @returns The document's text, or undefined when there was none above.
	 */
	async watchConfiguration(above: number, wait: number, signal: AbortSignal): Promise<string | undefined> {
		const query = above === 0 ? '' : `?above=${above}&wait=${wait}`;
		const response = await this.#read(`/v1/configuration${query}`, wait, signal);
		return response.statusCode === nothingNew ? undefined : response.body;
	}

	/**
	 * @param signal - Ends the call.
	 * @returns The hosts that the platform lists; the list lags.
	 */
	async readHosts(signal: AbortSignal): Promise<HostList> {
		const {body} = await this.#read('/v1/hosts', 0, signal);
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

	async #read(path: string, wait: number, signal: AbortSignal) {
		this.#calls++;
		return got(`http://${this.#address.host}:${this.#address.port}${path}`, {
			retry: {limit: 0},
			timeout: {request: wait + answerTimeout},
			signal,
		});
	}
}
