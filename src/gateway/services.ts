/** Services shared by all requests of this host. */
import {type Clock} from '../entry/clock.js';
import {type Log} from '../entry/logs.js';
import {type Stop} from '../core/gateway/limits/stop.js';
import {type HeaderFormat} from './platform-adapter.js';
import {type Gateway} from './gateway.js';
import {type Holds} from './requests/holds.js';
import {type GatewayMetrics} from './metrics.js';
import {type Settings} from './settings.js';
import {type RequestBodies} from './callers/request-bodies.js';
import {type ResponseBuffers} from './callers/response-buffers.js';
import {type UpstreamAgent} from './upstreams/agent.js';
import {type EngineChecks} from './upstreams/engine-checks.js';
import {type ResponseEnds} from './upstreams/response-ends.js';

export type GatewayServices = {
	readonly gateway: Gateway;
	readonly headerFormat: HeaderFormat;
	readonly agent: UpstreamAgent;
	readonly engineChecks: EngineChecks;
	readonly responseEnds: ResponseEnds;
	readonly holds: Holds;
	readonly metrics: GatewayMetrics;
	readonly responseBuffers: ResponseBuffers;
	/** Space for the bodies of requests. */
	readonly requestBodies: RequestBodies;
	/** Bounds on what upstreams send that is no answer. */
	readonly responseBounds: Settings['responses'];
	readonly log: Log;
	readonly clock: Clock;
	/** Returns the stop that was requested of this host, if it was: connections of callers are closed after their response. */
	readonly findStop: () => Stop | undefined;
	/** Uniform from 0 to 1. */
	readonly random: () => number;
};
