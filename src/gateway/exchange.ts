/** The life of one request at this host, from its head to the end of its answer. */
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {chooseService} from '../core/gateway/directory.js';
import {type Demand} from '../core/gateway/types.js';
import {admit, type Routed} from './admission.js';
import {Delivery, usualRetryAfter, type Stop} from './delivery.js';
import {type CallerFacts} from './dialect.js';
import {Dispatch} from './dispatch.js';
import {type Parts} from './parts.js';
import {Trace} from './trace.js';

/** Seconds after which a caller may come again to a host that knows too little: the store is read once a second. */
const unconfiguredRetryAfter = 1;

export class Exchange {
	readonly #parts: Parts;
	readonly #incoming: IncomingMessage;
	readonly #outgoing: ServerResponse;
	readonly #trace: Trace;
	readonly #delivery: Delivery;
	#dispatch: Dispatch | undefined;
	#stop: Stop | undefined;

	/**
	 * @param parts - What exchanges share.
	 * @param incoming - Request of a caller.
	 * @param outgoing - Its answer.
	 */
	constructor(parts: Parts, incoming: IncomingMessage, outgoing: ServerResponse) {
		this.#parts = parts;
		this.#incoming = incoming;
		this.#outgoing = outgoing;
		this.#trace = new Trace(parts);
		this.#delivery = new Delivery(outgoing, this.#trace, parts.random);
	}

	/** Serves the request; settles when its answer is over. */
	async run(): Promise<void> {
		const outgoing = this.#outgoing;
		outgoing.once('close', () => {
			if (!outgoing.writableFinished) {
				this.#halt('caller left');
			}
		});
		const facts = this.#parts.dialect.readCaller(this.#incoming.headers);
		this.#trace.facts = facts;
		if (this.#parts.isLeaving()) {
			outgoing.shouldKeepAlive = false;
		}

		if (this.#parts.isClosing()) {
			this.#incoming.resume();
			this.#delivery.refuse('leaving', usualRetryAfter);
			return;
		}

		if (facts === undefined) {
			this.#incoming.resume();
			this.#delivery.refuse('missingId');
			return;
		}

		const body = await this.#readBody();
		if (body === undefined) {
			return;
		}

		const admission = admit(this.#parts.gateway, this.#incoming, facts.key);
		if (admission.type === 'refused') {
			this.#delivery.refuse(admission.answer, unconfiguredRetryAfter);
			return;
		}

		await this.#serve(facts, body, admission);
	}

	/** The body of the request; undefined if it can't be served. */
	async #readBody(): Promise<Buffer | undefined> {
		const limit = this.#parts.gateway.directory?.configuration.limits.bodyBytes ?? Number.POSITIVE_INFINITY;
		const chunks: Buffer[] = [];
		let length = 0;
		try {
			for await (const chunk of this.#incoming as AsyncIterable<Buffer>) {
				length += chunk.length;
				if (length > limit) {
					this.#outgoing.shouldKeepAlive = false;
					this.#delivery.refuse('bodyTooLarge');
					return undefined;
				}

				chunks.push(chunk);
			}
		} catch {
			// Reading breaks off only where the caller went before its request was whole: nothing was passed on and nobody waits.
			this.#delivery.conclude('outcomeUnknown', 'caller left');
			return undefined;
		}

		if (this.#stop !== undefined || this.#outgoing.destroyed) {
			this.#delivery.conclude('outcomeUnknown', 'caller left');
			return undefined;
		}

		return Buffer.concat(chunks);
	}

	async #serve(facts: CallerFacts, body: Buffer, {route, organisation}: Routed): Promise<void> {
		const {gateway, clock} = this.#parts;
		const limit = Math.min(facts.patience ?? route.timeout, route.timeout);
		const now = clock.now();
		const {arrived} = this.#trace;
		const demand: Demand = {
			id: facts.id,
			service: chooseService(route, this.#parts.random()),
			kind: route.kind,
			priority: organisation?.priority ?? route.priority,
			arrived,
			due: arrived + route.objective,
			deadline: arrived + limit,
			pause: route.pause,
			prompt: facts.prompt,
		};
		this.#trace.route = route;
		this.#trace.service = demand.service;
		this.#delivery.resumeAfter(facts.lastEvent);
		gateway.retries.countRequest(demand.service, now);
		const order = {
			incoming: this.#incoming, body, route, organisation: organisation?.name, demand,
		};
		this.#dispatch = new Dispatch(this.#parts, order, this.#delivery, this.#trace);
		const timer = setTimeout(() => {
			this.#halt('time over');
		}, Math.max(demand.deadline - now, 0));
		try {
			await this.#dispatch.run();
		} finally {
			clearTimeout(timer);
		}
	}

	#halt(stop: Stop): void {
		if (this.#stop !== undefined || this.#outgoing.writableFinished) {
			return;
		}

		this.#stop = stop;
		this.#dispatch?.halt(stop);
		if (stop === 'time over') {
			this.#delivery.conclude('deadlinePassed', stop);
		}
	}
}
