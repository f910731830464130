/** Checks upstreams that this host has found silent until they answer: one that gets no requests would give no sign of life. */
import {type SilentUpstreams} from '../../core/gateway/health/silent-upstreams.js';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {type EngineChecks} from './engine-checks.js';

/** Time in milliseconds between two looks for checks that are due. */
const lookIntervalMs = 50;

export type ReturnChecksOptions = {
	readonly silent: Pick<SilentUpstreams, 'listDue' | 'noteCheck'>;
	readonly checks: Pick<EngineChecks, 'ask'>;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	readonly findUpstream: (id: string) => GatewayUpstream | undefined;
	/** Returns whether an upstream may get health checks at present, over this host's own link. */
	readonly mayCheck: (upstream: GatewayUpstream) => boolean;
	/** Returns whether a request waits for the upstream, so that its answer would show its return. */
	readonly isAwaited: (upstream: string) => boolean;
};

export class ReturnChecks implements Disposable {
	readonly #options: ReturnChecksOptions;
	readonly #timer: NodeJS.Timeout;

	/**
	 * @param options - Silent upstreams, and how to check them.
	 */
	constructor(options: ReturnChecksOptions) {
		this.#options = options;
		this.#timer = setInterval(() => {
			this.#look();
		}, lookIntervalMs);
	}

	[Symbol.dispose](): void {
		clearInterval(this.#timer);
	}

	#look(): void {
		const {silent, checks, now, findUpstream, mayCheck, isAwaited} = this.#options;
		for (const id of silent.listDue(now(), isAwaited)) {
			const upstream = findUpstream(id);
			if (upstream !== undefined && mayCheck(upstream)) {
				silent.noteCheck(id, now());
				checks.ask([upstream]);
			}
		}
	}
}
