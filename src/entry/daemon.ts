/** Starts the entry daemon of one host: its listeners, the core and the watches. */
import {setInterval} from 'node:timers';
import {type Container} from 'inversify';
import {
	type Address,
	type Event,
	type Member,
} from '../core/index.js';
import {type Cost} from './admin/server.js';
import {createContainer} from './container.js';
import {DisposalStack} from './disposal-stack.js';
import {type Driver} from './driver.js';
import {CoreExecutor} from './executor.js';
import {Links} from './peers/links.js';
import {type Settings} from './settings.js';
import {tokens} from './tokens.js';
import {watchConfiguration, watchHostList} from './watch/configuration.js';
import {EnginePoller} from './watch/engines.js';

/** A running entry host. */
export type Daemon = AsyncDisposable & {
	/** Starts to drain the host: it accepts no new requests and finishes the running ones. */
	readonly stop: () => void;
	/** Resolves once the host has left. */
	readonly finished: Promise<void>;
};

type ListenerPorts = {
	readonly caller: number;
	readonly admin: number;
	readonly peer: number;
};

/**
 * Starts a daemon. If a step fails, everything started before it is disposed of.
 *
 * @param settings - Settings of the daemon.
 * @returns The running daemon.
 */
export async function startDaemon(settings: Settings): Promise<Daemon> {
	const resources = new DisposalStack();
	try {
		return await assemble(settings, resources);
	} catch (error) {
		await resources[Symbol.asyncDispose]();
		throw error;
	}
}

async function assemble(settings: Settings, resources: DisposalStack): Promise<Daemon> {
	const container = createContainer(settings, () => getCost(container, links));
	const driver = container.get(tokens.driver);
	const started = container.get(tokens.clock).wall();
	const links = resources.use(await Links.listen({
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
	resources.use(container.get(tokens.metrics));
	const ports = await startListeners(container, resources, links);
	const self = createMember(settings, ports, started);
	driver.start(self, createExecutor(container, links));
	resources.use(container.get(tokens.relays));
	driver.dispatch({type: 'seeds-given', addresses: settings.seeds});
	startWatches(resources, container, settings, driver);
	logListening(container, settings, self, ports);
	return {
		stop() {
			driver.dispatch({type: 'stop-asked', grace: settings.drainGrace});
		},
		finished: container.get(tokens.lifecycle).finished,
		[Symbol.asyncDispose]: async () => resources[Symbol.asyncDispose](),
	};
}

/** Registers each listener for disposal only once it listens. */
async function startListeners(container: Container, resources: DisposalStack, links: Links): Promise<ListenerPorts> {
	const callers = container.get(tokens.callers);
	const admin = container.get(tokens.admin);
	const callerPort = await callers.listen();
	resources.use(callers);
	const adminPort = await admin.listen();
	resources.use(admin);
	return {caller: callerPort, admin: adminPort, peer: links.port};
}

function createMember(settings: Settings, ports: ListenerPorts, started: number): Member {
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
			lifecycle.markStopped();
		},
	});
}

function startWatches(resources: DisposalStack, container: Container, settings: Settings, driver: Driver): void {
	const platform = container.get(tokens.platform);
	const state = () => driver.state;
	const dispatch = (event: Event) => {
		driver.dispatch(event);
	};

	resources.use(watchConfiguration(platform, settings.watchWait, state, dispatch));
	resources.use(watchHostList(platform, settings.hostsInterval, dispatch));
	resources.use(new EnginePoller({
		clock: container.get(tokens.clock),
		interval: settings.reportInterval,
		state,
		dispatch,
	}));
	const ticks = setInterval(() => {
		driver.dispatch({type: 'tick'});
	}, settings.tickInterval);
	resources.defer(() => {
		clearInterval(ticks);
	});
}

function logListening(container: Container, settings: Settings, self: Member, ports: ListenerPorts): void {
	container.get(tokens.log).write({
		event: 'listening',
		failureDomain: self.failureDomain,
		started: self.incarnation.started,
		callerAddress: self.callerAddress,
		peerAddress: self.peerAddress,
		adminAddress: {host: settings.admin.host, port: ports.admin},
	});
}

function getCost(container: Container, links: Links): Cost {
	return {
		core: Object.fromEntries(container.get(tokens.driver).usage),
		peerBytes: links.traffic,
		platformCalls: container.get(tokens.platform).calls,
	};
}
