/** Names under which the daemon's parts are wired. */
import {type ServiceIdentifier} from 'inversify';
import {type Platform} from '../configuration-service/client.js';
import {type AdminServer} from './admin/server.js';
import {type Decisions} from './admin/decisions.js';
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

function token<T>(name: string): ServiceIdentifier<T> {
	return Symbol.for(`cranberrytide.${name}`);
}

export const tokens = {
	settings: token<Settings>('Settings'),
	clock: token<Clock>('Clock'),
	log: token<Log>('Log'),
	metrics: token<Metrics>('Metrics'),
	decisions: token<Decisions>('Decisions'),
	directory: token<Directory>('Directory'),
	exchanges: token<Exchanges>('Exchanges'),
	driver: token<Driver>('Driver'),
	lifecycle: token<Lifecycle>('Lifecycle'),
	platform: token<Platform>('Platform'),
	relays: token<Relays>('Relays'),
	resumption: token<Resumption>('Resumption'),
	callers: token<CallerServer>('CallerServer'),
	admin: token<AdminServer>('AdminServer'),
} as const;
