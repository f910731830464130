/** What all requests of this host share. */
import {type Agent} from 'node:http';
import {type Clock} from '../entry/clock.js';
import {type Log} from '../entry/logs.js';
import {type Dialect} from './dialect.js';
import {type Gateway} from './gateway.js';
import {type Holds} from './holds.js';
import {type GatewayMetrics} from './metrics.js';

export type Parts = {
	readonly gateway: Gateway;
	readonly dialect: Dialect;
	readonly agent: Agent;
	readonly holds: Holds;
	readonly metrics: GatewayMetrics;
	readonly log: Log;
	readonly clock: Clock;
	/** Whether this host is about to stop: connections of callers end with their answer. */
	readonly isLeaving: () => boolean;
	/** Whether it is too close to its stop to take a request that could last. */
	readonly isClosing: () => boolean;
	/** Uniform from 0 to 1. */
	readonly random: () => number;
};
