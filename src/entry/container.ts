/** Wires the daemon's services together. */
import {Container} from 'inversify';
import {PlatformClient} from '../configuration-service/client.js';
import {AdminServer, type Cost} from './admin/server.js';
import {DecisionHistory} from './admin/decisions.js';
import {Directory} from './callers/directory.js';
import {Exchanges} from './callers/exchange.js';
import {Resumption} from './callers/resumption.js';
import {CallerServer} from './callers/server.js';
import {Clock} from './clock.js';
import {Driver} from './driver.js';
import {Lifecycle} from './lifecycle.js';
import {Log} from './logs.js';
import {Metrics} from './metrics.js';
import {Relays} from './relays/relays.js';
import {type Settings} from './settings.js';
import {tokens} from './tokens.js';

/** Exclusive upper bound of random seeds. */
const seedLimit = 2 ** 31;

/**
 * @param settings - Settings of the daemon.
 * @param cost - Measures the daemon's resource usage.
 * @returns A container that creates each service once, on first use.
 */
export function createContainer(settings: Settings, cost: () => Cost): Container {
	const container = new Container({defaultScope: 'Singleton'});
	container.bind(tokens.settings).toConstantValue(settings);
	container.bind(tokens.clock).toDynamicValue(() => new Clock());
	container.bind(tokens.log).toDynamicValue(() => new Log(settings.host));
	container.bind(tokens.metrics).toDynamicValue(() => new Metrics(settings));
	container.bind(tokens.directory).toDynamicValue(() => new Directory());
	container.bind(tokens.exchanges).toDynamicValue(() => new Exchanges());
	container.bind(tokens.lifecycle).toDynamicValue(() => new Lifecycle());
	container.bind(tokens.platform).toDynamicValue(() => new PlatformClient(settings.platform));
	container.bind(tokens.decisions).toDynamicValue(({get}) => new DecisionHistory(settings.decisionsKept, get(tokens.clock)));
	container.bind(tokens.driver).toDynamicValue(({get}) => {
		const seed = settings.seed ?? Math.floor(Math.random() * seedLimit);
		return new Driver(get(tokens.clock), seed, settings.pauseThreshold);
	});
	container.bind(tokens.relays).toDynamicValue(({get}) => new Relays({
		exchanges: get(tokens.exchanges),
		clock: get(tokens.clock),
		log: get(tokens.log),
		metrics: get(tokens.metrics),
		...createCoreAccess(get(tokens.driver)),
	}));
	container.bind(tokens.resumption).toDynamicValue(({get}) => new Resumption({
		clock: get(tokens.clock),
		metrics: get(tokens.metrics),
		...createCoreAccess(get(tokens.driver)),
	}));
	container.bind(tokens.callers).toDynamicValue(({get}) => {
		const lifecycle = get(tokens.lifecycle);
		const relays = get(tokens.relays);
		return new CallerServer({
			settings,
			exchanges: get(tokens.exchanges),
			directory: get(tokens.directory),
			clock: get(tokens.clock),
			log: get(tokens.log),
			resumption: get(tokens.resumption),
			isReady: () => lifecycle.isReady,
			abandon(request) {
				relays.abandon(request);
			},
			...createCoreAccess(get(tokens.driver)),
		});
	});
	container.bind(tokens.admin).toDynamicValue(({get}) => new AdminServer({
		settings,
		clock: get(tokens.clock),
		decisions: get(tokens.decisions),
		cost,
		...createCoreAccess(get(tokens.driver)),
	}));
	return container;
}

function createCoreAccess(driver: Driver): Pick<Driver, 'dispatch'> & {readonly state: () => Driver['state']} {
	return {
		state: () => driver.state,
		dispatch(event) {
			driver.dispatch(event);
		},
	};
}
