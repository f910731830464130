/** Holds a witness for each upstream whose responses end with their connections. */
import {type Socket, type TcpNetConnectOpts} from 'node:net';
import {assertNever} from '../../core/index.js';
import {type Testimony} from '../../core/gateway/health/connection-ends.js';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {type LinkProbe} from './link-probe.js';
import {type ResponseWatch} from './response-watch.js';
import {Witness} from './witness.js';

/** Time in milliseconds for which a witness is kept after the last response. */
const idleMs = 10_000;

/** Time in milliseconds between two checks that keep an upstream from closing the connection as idle. */
const keepAliveIntervalMs = 2000;

/** Time in milliseconds until a witness is replaced that was lost during a response; doubled with each one. */
const minReplacementDelayMs = 100;
const maxReplacementDelayMs = 2000;

export type UpstreamWitnessesOptions = {
	readonly connect: (options: TcpNetConnectOpts) => Promise<Socket>;
	readonly probe: Pick<LinkProbe, 'check'>;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** Returns whether an upstream may get health checks at present. */
	readonly mayCheck: (upstream: GatewayUpstream) => boolean;
};

/** What is due after a delay in milliseconds. */
type NextStep
	= | {readonly type: 'close'; readonly delay: number}
		| {readonly type: 'keep alive'; readonly delay: number}
		| {readonly type: 'replace'; readonly delay: number}
		| {readonly type: 'nothing'};

class UpstreamWitness implements Disposable {
	readonly #options: UpstreamWitnessesOptions;
	readonly #upstream: GatewayUpstream;
	readonly #onIdle: () => void;
	readonly #watches = new Set<ResponseWatch>();
	#opening: Promise<Witness | undefined> | undefined;
	#witness: Witness | undefined;
	#timer: NodeJS.Timeout | undefined;
	#next: NextStep | undefined;
	#replacementDelay = minReplacementDelayMs;
	#isDisposed = false;

	constructor(options: UpstreamWitnessesOptions, upstream: GatewayUpstream, onIdle: () => void) {
		this.#options = options;
		this.#upstream = upstream;
		this.#onIdle = onIdle;
	}

	add(watch: ResponseWatch): void {
		this.#watches.add(watch);
		if (this.#witness?.isOpen === true) {
			void watch.noteEstablished(this.#witness.establishedAt);
			this.#schedule();
		} else {
			void this.#open();
		}
	}

	delete(watch: ResponseWatch): void {
		watch.end();
		this.#watches.delete(watch);
		this.#schedule();
	}

	/** Returns what the witness shows now, and then one that takes its place if its connection has ended; none if none can be had. */
	async testify(): Promise<readonly Testimony[]> {
		const first = await this.#ask();
		const second = first?.state === 'unknown' ? await this.#ask() : undefined;
		return [first, second].flatMap(testimony => testimony ?? []);
	}

	[Symbol.dispose](): void {
		this.#isDisposed = true;
		clearTimeout(this.#timer);
		this.#witness?.[Symbol.dispose]();
	}

	async #ask(): Promise<Testimony | undefined> {
		const witness = this.#witness?.isOpen === true ? this.#witness : await this.#open();
		return witness?.testify();
	}

	async #open(): Promise<Witness | undefined> {
		this.#opening ??= this.#connect();
		return this.#opening;
	}

	async #connect(): Promise<Witness | undefined> {
		const witness = await this.#connectWitness();
		this.#opening = undefined;
		for (const watch of witness === undefined ? [] : this.#watches) {
			void watch.noteEstablished(witness!.establishedAt);
		}

		this.#schedule();
		return witness;
	}

	async #connectWitness(): Promise<Witness | undefined> {
		const {connect, now, probe, mayCheck} = this.#options;
		let socket: Socket;
		try {
			socket = await connect({...this.#upstream.address, noDelay: true});
		} catch {
			// The registrations tell in its place.
			return undefined;
		}

		if (this.#isDisposed) {
			socket.destroy();
			return undefined;
		}

		const witness = new Witness({
			upstream: this.#upstream,
			socket,
			establishedAt: now(),
			probe,
			mayCheck,
			onClose: () => {
				this.#replace(witness);
			},
		});
		this.#witness = witness;
		return witness;
	}

	#replace(closed: Witness): void {
		if (this.#witness === closed) {
			this.#witness = undefined;
			this.#schedule();
		}
	}

	/** Keeps the witness alive or replaces it as long as there are responses; afterwards it is closed once it has been idle for long. */
	#schedule(): void {
		const next = this.#findNext();
		if (next.type === this.#next?.type && next.type !== 'close') {
			return;
		}

		clearTimeout(this.#timer);
		this.#next = next;
		if (next.type === 'nothing' || this.#isDisposed) {
			return;
		}

		this.#timer = setTimeout(() => {
			this.#next = undefined;
			void this.#take(next);
		}, next.delay);
		this.#timer.unref();
	}

	#findNext(): NextStep {
		const isOpen = this.#witness?.isOpen === true;
		if (this.#watches.size === 0) {
			return {type: 'close', delay: isOpen ? idleMs : 0};
		}

		if (isOpen) {
			return {type: 'keep alive', delay: keepAliveIntervalMs};
		}

		return this.#opening === undefined ? {type: 'replace', delay: this.#replacementDelay} : {type: 'nothing'};
	}

	async #take(step: Exclude<NextStep, {readonly type: 'nothing'}>): Promise<void> {
		switch (step.type) {
			case 'close': {
				this.#onIdle();
				return;
			}

			case 'keep alive': {
				this.#replacementDelay = minReplacementDelayMs;
				await this.#witness?.testify();
				this.#schedule();
				return;
			}

			case 'replace': {
				this.#replacementDelay = Math.min(this.#replacementDelay * 2, maxReplacementDelayMs);
				await this.#open();
				return;
			}

			default: {
				assertNever(step);
			}
		}
	}
}

export class UpstreamWitnesses implements Disposable {
	readonly #options: UpstreamWitnessesOptions;
	/** By id and start of the upstream. */
	readonly #witnesses = new Map<string, UpstreamWitness>();

	/**
	 * @param options - How to connect to upstreams, and to check them.
	 */
	constructor(options: UpstreamWitnessesOptions) {
		this.#options = options;
	}

	/**
	 * Follows a response: has a connection to its upstream at hand that shows whether the upstream outlives the response.
	 *
	 * @param upstream - Upstream that sends the response.
	 * @param watch - Response whose head has been read.
	 */
	follow(upstream: GatewayUpstream, watch: ResponseWatch): void {
		const key = formatKey(upstream);
		const known = this.#witnesses.get(key);
		const witness = known ?? new UpstreamWitness(this.#options, upstream, () => {
			this.#witnesses.delete(key);
			witness[Symbol.dispose]();
		});
		this.#witnesses.set(key, witness);
		witness.add(watch);
	}

	/**
	 * @param upstream - Upstream of a response that is followed.
	 * @returns What its witnesses show now, the earliest first.
	 */
	async testify(upstream: GatewayUpstream): Promise<readonly Testimony[]> {
		return this.#witnesses.get(formatKey(upstream))?.testify() ?? [];
	}

	/**
	 * @param upstream - Upstream of a response that has ended, or was given up.
	 * @param watch - Response.
	 */
	release(upstream: GatewayUpstream, watch: ResponseWatch): void {
		this.#witnesses.get(formatKey(upstream))?.delete(watch);
	}

	[Symbol.dispose](): void {
		for (const witness of this.#witnesses.values()) {
			witness[Symbol.dispose]();
		}

		this.#witnesses.clear();
	}
}

function formatKey({id, started}: GatewayUpstream): string {
	return `${id} ${started ?? ''}`;
}
