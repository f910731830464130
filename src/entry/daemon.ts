/** Runs one entry host from its first listener to its end. */
import {setInterval} from 'node:timers';
import {type Container} from 'inversify';
import {
	type Address,
	type Event,
	type Member,
} from '../core/index.js';
import {type Cost} from './admin/server.js';
import {createContainer} from './container.js';
import {Disposal} from './disposal.js';
import {type Driver} from './driver.js';
import {CoreExecutor} from './executor.js';
import {Links} from './peers/links.js';
import {type Settings} from './settings.js';
import {tokens} from './tokens.js';
import {watchConfiguration, watchHosts} from './watch/configuration.js';
import {UpstreamWatch} from './watch/upstreams.js';

/** A running entry host. */
export type Daemon = AsyncDisposable & {
	/** Asks the host to leave: it takes nothing new and finishes what it has. */
	readonly stop: () => void;
	/** Settles once the host has left. */
	readonly finished: Promise<void>;
};

type Ports = {
	readonly caller: number;
	readonly admin: number;
	readonly peer: number;
};

/**
 * @param settings - Settings of the daemon.
 * @returns The running daemon.
 */
export async function startDaemon(settings: Settings): Promise<Daemon> {
	const parts = new Disposal();
	try {
		return await assemble(settings, parts);
	} catch (error) {
		await parts[Symbol.asyncDispose]();
		throw error;
	}
}

async function assemble(settings: Settings, parts: Disposal): Promise<Daemon> {
	const container = createContainer(settings, () => costOf(container, links));
	const driver = container.get(tokens.driver);
	const started = container.get(tokens.clock).wall();
	const links = parts.use(await Links.listen({
		listen: settings.peer,
		hello: () => ({
			type: 'hello',
			member: driver.state.self,
			phase: driver.state.membership.phase,
			revision: driver.state.configuration.inForce?.revision ?? 0,
		}),
		emit(event) {
			driver.dispatch(event);
		},
		report(host, reason) {
			container.get(tokens.log).write({event: 'link', peer: host, reason});
		},
	}));
	parts.use(container.get(tokens.metrics));
	const ports = await openPorts(container, parts, links);
	const self = memberOf(settings, ports, started);
	driver.start(self, createExecutor(container, links));
	parts.use(container.get(tokens.relays));
	driver.dispatch({type: 'seeds-given', addresses: settings.seeds});
	startWatches(parts, container, settings, driver);
	announce(container, settings, self, ports);
	return {
		stop() {
			driver.dispatch({type: 'stop-asked', grace: settings.drainGrace});
		},
		finished: container.get(tokens.lifecycle).finished,
		[Symbol.asyncDispose]: async () => parts[Symbol.asyncDispose](),
	};
}

/** A listener is disposed of only once it listens. */
async function openPorts(container: Container, parts: Disposal, links: Links): Promise<Ports> {
	const callers = container.get(tokens.callers);
	const admin = container.get(tokens.admin);
	const callerPort = await callers.listen();
	parts.use(callers);
	const adminPort = await admin.listen();
	parts.use(admin);
	return {caller: callerPort, admin: adminPort, peer: links.port};
}

function memberOf(settings: Settings, ports: Ports, started: number): Member {
	const callerAddress: Address = settings.advertised.caller ?? {host: settings.caller.host, port: ports.caller};
	const peerAddress: Address = settings.advertised.peer ?? {host: settings.peer.host, port: ports.peer};
	return {
		incarnation: {host: settings.host, started},
		failureDomain: settings.failureDomain,
		callerAddress,
		peerAddress,
	};
}

function createExecutor(container: Container, links: Links): CoreExecutor {
	const driver = container.get(tokens.driver);
	const lifecycle = container.get(tokens.lifecycle);
	return new CoreExecutor({
		exchanges: container.get(tokens.exchanges),
		relays: container.get(tokens.relays),
		peers: links,
		log: container.get(tokens.log),
		metrics: container.get(tokens.metrics),
		decisions: container.get(tokens.decisions),
		state: () => driver.state,
		dispatch(event) {
			driver.dispatch(event);
		},
		setReady(isReady) {
			lifecycle.setReady(isReady);
		},
		stop() {
			lifecycle.stop();
		},
	});
}

function startWatches(parts: Disposal, container: Container, settings: Settings, driver: Driver): void {
	const platform = container.get(tokens.platform);
	const state = () => driver.state;
	const dispatch = (event: Event) => {
		driver.dispatch(event);
	};

	parts.use(watchConfiguration(platform, settings.watchWait, state, dispatch));
	parts.use(watchHosts(platform, settings.hostsInterval, dispatch));
	parts.use(new UpstreamWatch({
		clock: container.get(tokens.clock),
		interval: settings.reportInterval,
		state,
		dispatch,
	}));
	const ticks = setInterval(() => {
		driver.dispatch({type: 'tick'});
	}, settings.tickInterval);
	parts.defer(() => {
		clearInterval(ticks);
	});
}

function announce(container: Container, settings: Settings, self: Member, ports: Ports): void {
	container.get(tokens.log).write({
		event: 'listening',
		failureDomain: self.failureDomain,
		started: self.incarnation.started,
		callerAddress: self.callerAddress,
		peerAddress: self.peerAddress,
		adminAddress: {host: settings.admin.host, port: ports.admin},
	});
}

function costOf(container: Container, links: Links): Cost {
	return {
		core: Object.fromEntries(container.get(tokens.driver).usage),
		peerBytes: links.traffic,
		platformCalls: container.get(tokens.platform).calls,
	};
}
