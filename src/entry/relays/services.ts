/** The daemon's services that relays use. */
import {type Effect, type Event, type State} from '../../core/index.js';
import {type Exchanges} from '../callers/exchange.js';
import {type Clock} from '../clock.js';
import {type Log} from '../logs.js';
import {type Metrics} from '../metrics.js';

export type EffectOf<T extends Effect['type']> = Extract<Effect, {readonly type: T}>;

export type RelayServices = {
	readonly exchanges: Exchanges;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly state: () => State;
	readonly dispatch: (event: Event) => void;
};
