/** Handles one request of a caller from its head to the end of the response. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {compareWithRoute} from '../../core/gateway/limits/priority.js';
import {chooseService} from '../../core/gateway/registry/directory.js';
import {type Demand} from '../../core/gateway/types.js';
import {ByteBuffer} from '../../protocol/byte-buffer.js';
import {type RequestMetadata} from '../platform-adapter.js';
import {Dispatch} from '../requests/dispatch.js';
import {type GatewayServices} from '../services.js';
import {RequestTrace} from '../requests/trace.js';
import {CallerResponse, baseRetryAfterSeconds, type StopReason} from './caller-response.js';
import {type BodySpace} from './request-bodies.js';
import {admit, type RoutedResolution} from './admission.js';

/** Retry-After of callers refused because the configuration may be missing or stale: the store is read once per second. */
const unconfiguredRetryAfterSeconds = 1;

/** Retry-After of callers whose bodies find no memory here. */
const bodyRetryAfterSeconds = 1;

/** Longest body that memory is allocated for before it comes. */
const maxAllocatedBytes = 8_000_000;

/** Longest time of a timer of Node.js in milliseconds; a longer one ends at once. */
const maxTimerMs = (2 ** 31) - 1;

export class Exchange {
	readonly #services: GatewayServices;
	readonly #incoming: IncomingMessage;
	readonly #outgoing: ServerResponse;
	readonly #trace: RequestTrace;
	readonly #callerResponse: CallerResponse;
	#dispatch: Dispatch | undefined;
	#isReadingBody = false;
	#stopReason: StopReason | undefined;

	/**
	 * @param services - Services shared by all requests.
	 * @param incoming - Request of a caller.
	 * @param outgoing - Response to the caller.
	 */
	constructor(services: GatewayServices, incoming: IncomingMessage, outgoing: ServerResponse) {
		this.#services = services;
		this.#incoming = incoming;
		this.#outgoing = outgoing;
		this.#trace = new RequestTrace(services);
		this.#callerResponse = new CallerResponse(outgoing, this.#trace, services.random, services.responseBuffers);
	}

	/** Serves the request; resolves when the response has ended. */
	async run(): Promise<void> {
		const outgoing = this.#outgoing;
		outgoing.once('close', () => {
			if (!outgoing.writableFinished) {
				this.#cancel('caller left');
			}
		});
		const metadata = this.#services.headerFormat.parseRequest(this.#incoming.headers);
		this.#trace.metadata = metadata;
		const stop = this.#services.findStop();
		if (stop !== undefined) {
			outgoing.shouldKeepAlive = false;
		}

		if (stop !== undefined && this.#services.clock.now() > stop.refusesFrom) {
			this.#incoming.resume();
			this.#callerResponse.refuse('leaving', baseRetryAfterSeconds);
			return;
		}

		if (metadata === undefined) {
			this.#incoming.resume();
			this.#callerResponse.refuse('missingId');
			return;
		}

		this.#isReadingBody = true;
		using space = await this.#reserveSpace();
		const body = space === undefined ? undefined : await this.#readBody(space);
		this.#isReadingBody = false;
		if (body === undefined) {
			return;
		}

		if (this.#services.findStop() !== undefined) {
			outgoing.shouldKeepAlive = false;
		}

		const admission = admit(this.#services.gateway, this.#incoming, metadata.key);
		if (admission.type === 'refused') {
			this.#callerResponse.refuse(admission.answer, unconfiguredRetryAfterSeconds);
			return;
		}

		await this.#serve(metadata, body, admission);
	}

	/** Refuses the request if its body isn't complete: the host has no time left for it. */
	refuseIncomplete(): void {
		if (this.#isReadingBody && !this.#outgoing.headersSent) {
			this.#outgoing.shouldKeepAlive = false;
			this.#callerResponse.refuse('leaving', baseRetryAfterSeconds);
		}
	}

	/** Returns space for the body, or undefined if the request has been refused: nothing is read of a body that has no space. */
	async #reserveSpace(): Promise<BodySpace | undefined> {
		if (this.#statedLength > this.#maxBodyBytes) {
			this.#refuseBody('bodyTooLarge');
			return undefined;
		}

		const space = await this.#services.requestBodies.reserve(this.#statedLength);
		if (space === undefined) {
			this.#refuseBody('overloaded');
		}

		return space;
	}

	/** Length of the body as its head states it; 0 if it doesn't. */
	get #statedLength(): number {
		return Number(this.#incoming.headers['content-length'] ?? 0);
	}

	get #maxBodyBytes(): number {
		return this.#services.gateway.directory?.configuration.limits.bodyBytes ?? Number.POSITIVE_INFINITY;
	}

	/** Refuses the request, and drops the rest of its body. */
	#refuseBody(name: 'bodyTooLarge' | 'overloaded'): void {
		this.#outgoing.shouldKeepAlive = false;
		this.#incoming.resume();
		this.#callerResponse.refuse(name, bodyRetryAfterSeconds);
	}

	/** Returns the body of the request, or undefined if the request has been refused or its caller has left. */
	async #readBody(space: BodySpace): Promise<Buffer | undefined> {
		const bytes = new ByteBuffer(Math.min(this.#statedLength, maxAllocatedBytes));
		let refusal: 'bodyTooLarge' | 'overloaded' | undefined;
		try {
			for await (const chunk of this.#incoming.iterator({destroyOnReturn: false}) as AsyncIterable<Buffer>) {
				const length = bytes.length + chunk.length;
				if (length > this.#maxBodyBytes || !space.extendTo(length)) {
					refusal = length > this.#maxBodyBytes ? 'bodyTooLarge' : 'overloaded';
					break;
				}

				bytes.append(chunk);
			}
		} catch {
			// Reading fails only if the caller disconnects before its request is complete: nothing was forwarded, and no caller is waiting.
			this.#callerResponse.conclude('outcomeUnknown', 'caller left');
			return undefined;
		}

		if (refusal !== undefined) {
			this.#refuseBody(refusal);
			return undefined;
		}

		if (this.#outgoing.headersSent) {
			return undefined;
		}

		if (this.#stopReason !== undefined || this.#outgoing.destroyed) {
			this.#callerResponse.conclude('outcomeUnknown', 'caller left');
			return undefined;
		}

		return bytes.take();
	}

	async #serve(metadata: RequestMetadata, body: Buffer, {route, organisation}: RoutedResolution): Promise<void> {
		const {gateway, clock} = this.#services;
		const timeout = Math.min(metadata.timeout ?? route.timeout, route.timeout);
		const now = clock.now();
		const {arrived} = this.#trace;
		const demand: Demand = {
			id: metadata.id,
			service: chooseService(route, this.#services.random()),
			kind: route.kind,
			priority: organisation?.priority ?? route.priority,
			organisationPriority: compareWithRoute(organisation?.priority, route.priority),
			arrived,
			due: arrived + route.objective,
			deadline: arrived + timeout,
			pause: route.pause,
			prompt: metadata.prompt,
		};
		this.#trace.route = route;
		this.#trace.service = demand.service;
		this.#callerResponse.resumeAfter(metadata.lastEventId);
		gateway.retries.countRequest(demand.service, now);
		this.#countPriority(demand);
		const request = {
			incoming: this.#incoming, body, route, organisation: organisation?.name, tag: gateway.shares.findTag(gateway.directory?.configuration, route, organisation?.name), demand,
		};
		this.#dispatch = new Dispatch(this.#services, request, this.#callerResponse, this.#trace);
		const timer = setTimeout(() => {
			this.#cancel('time over');
		}, Math.min(Math.max(demand.deadline - now, 0), maxTimerMs));
		try {
			await this.#dispatch.run();
		} finally {
			clearTimeout(timer);
		}

		await this.#callerResponse.delivered(() => demand.deadline - clock.now());
	}

	#countPriority({service, organisationPriority}: Demand): void {
		if (organisationPriority !== undefined) {
			this.#services.metrics.prioritised.inc({service, served: organisationPriority < 0 ? 'earlier' : 'later'});
		}
	}

	#cancel(reason: StopReason): void {
		if (this.#stopReason !== undefined || this.#outgoing.writableFinished) {
			return;
		}

		this.#stopReason = reason;
		this.#dispatch?.cancel(reason);
		if (reason === 'time over') {
			this.#callerResponse.conclude('deadlinePassed', reason);
		}
	}
}
