/** Asks upstreams that haven't sent anything lately for a sign of life. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type GatewayService, type GatewayUpstream} from '../../core/gateway/types.js';
import {type HealthClient, type HealthResult} from '../platform-adapter.js';

/** Time in milliseconds for an answer. */
const answerMs = 300;

export type EngineChecksOptions = {
	readonly client: HealthClient;
	/** Uniform from 0 to 1. */
	readonly random: () => number;
	/** Upstreams that are asked at once. */
	readonly maxPending: number;
	readonly findService: (name: string) => GatewayService | undefined;
	/** Called with each check that is sent. */
	readonly onSent: (upstream: GatewayUpstream) => void;
	/** Called with an engine that has answered, late or not. */
	readonly onAnswer: (upstream: GatewayUpstream) => void;
	/** Called with an engine that has not answered in time. */
	readonly onSilence: (upstream: GatewayUpstream) => void;
};

/** Returns whether a check was answered, by the engine or by something else that now listens at its address. */
function isAnswered(result: HealthResult): boolean {
	return result.type !== 'ignored' || result.reason !== 'no response';
}

export class EngineChecks {
	readonly #options: EngineChecksOptions;
	readonly #pending = new Set<string>();

	/**
	 * @param options - How to check engines.
	 */
	constructor(options: EngineChecksOptions) {
		this.#options = options;
	}

	/**
	 * Checks some engines, unless enough are being checked.
	 *
	 * @param candidates - Engines, any of which would do.
	 */
	ask(candidates: readonly GatewayUpstream[]): void {
		const free = candidates.filter(({id}) => !this.#pending.has(id));
		while (free.length > 0 && this.#pending.size < this.#options.maxPending) {
			const [drawn] = free.splice(Math.floor(this.#options.random() * free.length), 1);
			void this.#check(drawn!);
		}
	}

	async #check(upstream: GatewayUpstream): Promise<void> {
		this.#pending.add(upstream.id);
		const isDone = await Promise.race([this.#request(upstream), sleep(answerMs, false)]);
		this.#pending.delete(upstream.id);
		if (!isDone) {
			this.#options.onSilence(upstream);
		}
	}

	/** Returns whether something answered. */
	async #request(upstream: GatewayUpstream): Promise<boolean> {
		const {client, findService, onSent, onAnswer} = this.#options;
		const {id, address, service} = upstream;
		onSent(upstream);
		const result = await client.check({upstream: id, address, path: findService(service)?.healthPath ?? '/'});
		if (result.type !== 'ignored' || result.reason === 'invalid cold time') {
			onAnswer(upstream);
		}

		return isAnswered(result);
	}
}
