/** An admitted request while it is being served: what the modules that refuse, reserve and send it have in common. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type Job, type PlacementKind} from '../../core/gateway/engines/load.js';
import {Attempts} from '../../core/gateway/placement/attempts.js';
import {type Placement} from '../../core/gateway/placement/placement.js';
import {type Demand, type Route} from '../../core/gateway/types.js';
import {type CallerResponse, type StopReason} from '../callers/caller-response.js';
import {type GatewayServices} from '../services.js';
import {type RequestTrace} from './trace.js';

/** An admitted request. */
export type AdmittedRequest = {
	readonly incoming: IncomingMessage;
	readonly body: Buffer;
	readonly route: Route;
	readonly organisation: string | undefined;
	/** Tag that its use counts toward; absent if the configuration has no organisations. */
	readonly tag?: string;
	readonly demand: Demand;
};

export class RequestState {
	readonly services: GatewayServices;
	readonly request: AdmittedRequest;
	readonly callerResponse: CallerResponse;
	readonly trace: RequestTrace;
	readonly attempts: Attempts;
	/** Why the request was cancelled, if it was. */
	stopReason: StopReason | undefined;
	/** Whether no upstream could take the request as it arrived. */
	hasWaited = false;
	/** Tag that the use of the request counts toward, until it is counted with its first job. */
	#uncountedTag: string | undefined;

	/**
	 * @param services - Services shared by all requests.
	 * @param request - Request to send.
	 * @param callerResponse - Response to its caller.
	 * @param trace - Records each decision.
	 */
	constructor(services: GatewayServices, request: AdmittedRequest, callerResponse: CallerResponse, trace: RequestTrace) {
		this.services = services;
		this.request = request;
		this.callerResponse = callerResponse;
		this.trace = trace;
		this.attempts = new Attempts(request.route);
		this.#uncountedTag = request.tag;
	}

	/** Demand of the next attempt: once an answer has begun, its next event is due within the pause limit of the route. */
	get demand(): Demand {
		const {demand} = this.request;
		const {lastEventAt} = this.trace;
		return lastEventAt === undefined || demand.pause === undefined ? demand : {...demand, due: lastEventAt + demand.pause, hasBegun: true};
	}

	/** Whether nothing more is sent: the request was cancelled, or its caller has left. */
	get isOver(): boolean {
		return this.stopReason !== undefined || this.callerResponse.isClosed;
	}

	/**
	 * Publishes the job of an attempt. The first one counts the use of the organisation.
	 *
	 * @param placement - Placement of the request.
	 * @param kind - Kind of the placement.
	 * @returns The job.
	 */
	beginJob(placement: Placement, kind: PlacementKind): Job {
		const organisation = this.#uncountedTag;
		this.#uncountedTag = undefined;
		return this.services.gateway.placements.beginJob(this.request.demand, placement, kind, organisation === undefined ? undefined : {organisation, hasWaited: this.hasWaited});
	}
}
