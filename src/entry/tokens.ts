/** Identifiers of the daemon's services in the dependency injection container. */
import {type ServiceIdentifier} from 'inversify';
import {type PlatformClient} from '../configuration-service/client.js';
import {type AdminServer} from './admin/server.js';
import {type DecisionHistory} from './admin/decisions.js';
import {type Directory} from './callers/directory.js';
import {type Exchanges} from './callers/exchange.js';
import {type Resumption} from './callers/resumption.js';
import {type CallerServer} from './callers/server.js';
import {type Clock} from './clock.js';
import {type Driver} from './driver.js';
import {type Lifecycle} from './lifecycle.js';
import {type Log} from './logs.js';
import {type Metrics} from './metrics.js';
import {type Relays} from './relays/relays.js';
import {type Settings} from './settings.js';

function createToken<T>(name: string): ServiceIdentifier<T> {
	return Symbol.for(`cranberrytide.${name}`);
}

export const tokens = {
	settings: createToken<Settings>('Settings'),
	clock: createToken<Clock>('Clock'),
	log: createToken<Log>('Log'),
	metrics: createToken<Metrics>('Metrics'),
	decisions: createToken<DecisionHistory>('Decisions'),
	directory: createToken<Directory>('Directory'),
	exchanges: createToken<Exchanges>('Exchanges'),
	driver: createToken<Driver>('Driver'),
	lifecycle: createToken<Lifecycle>('Lifecycle'),
	platform: createToken<PlatformClient>('Platform'),
	relays: createToken<Relays>('Relays'),
	resumption: createToken<Resumption>('Resumption'),
	callers: createToken<CallerServer>('CallerServer'),
	admin: createToken<AdminServer>('AdminServer'),
} as const;
