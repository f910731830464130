/** Injects faults at random times: partitions, process kills, pauses, broken links, upstream crashes and planned stops. */
import {type Host} from './hosts.js';
import {type Simulation} from './simulation.js';

function startPartition(simulation: Simulation): void {
	const {random} = simulation;
	for (const host of simulation.hosts.keys()) {
		simulation.partitionSides.set(host, random.integer(0, 1));
	}

	for (const domain of simulation.options.failureDomains) {
		const side = random.integer(0, 1);
		for (const upstream of simulation.upstreams.values()) {
			if (upstream.failureDomain === domain) {
				simulation.partitionSides.set(upstream.id, side);
			}
		}
	}

	simulation.scheduler.after(random.integer(200, 4000), () => {
		simulation.partitionSides.clear();
	});
}

function scheduleRestart(simulation: Simulation, host: Host): void {
	simulation.scheduler.after(simulation.random.integer(50, 2000), () => {
		if (simulation.hosts.get(host.name) === host && !host.isAlive) {
			simulation.startHost(host.name, host.member.failureDomain);
		}
	});
}

function pauseHost(simulation: Simulation, host: Host): void {
	const length = simulation.random.integer(600, 4000);
	host.isPaused = true;
	for (const exchange of host.exchanges.values()) {
		exchange.hostRequest.isExempt = true;
	}

	simulation.scheduler.after(length, () => {
		if (host.isAlive) {
			simulation.resume(host, length);
		}
	});
}

function stopHost(simulation: Simulation, host: Host): void {
	simulation.dispatch(host, {type: 'stop-asked', grace: 5000});
	simulation.scheduler.after(6000, () => {
		if (host.isAlive) {
			simulation.terminate(host);
		}

		scheduleRestart(simulation, host);
	});
}

/** Kills all hosts at once, as the loss of a rack or its power does, so that no host keeps its state. */
function terminateAllHosts(simulation: Simulation): void {
	for (const host of simulation.aliveHosts) {
		simulation.terminate(host);
		scheduleRestart(simulation, host);
	}
}

function injectFault(simulation: Simulation): void {
	const {random} = simulation;
	const runningHosts = simulation.aliveHosts.filter(host => !host.isPaused);
	if (runningHosts.length === 0) {
		return;
	}

	const host = random.pick(runningHosts);
	if (random.chance(4)) {
		terminateAllHosts(simulation);
		return;
	}

	const draw = random.integer(1, 100);
	if (draw <= 20) {
		startPartition(simulation);
	} else if (draw <= 40) {
		simulation.terminate(host);
		scheduleRestart(simulation, host);
	} else if (draw <= 60) {
		pauseHost(simulation, host);
	} else if (draw <= 75) {
		const links = simulation.links.getNames();
		if (links.length > 0) {
			simulation.links.cut(random.pick(links));
		}
	} else if (draw <= 90) {
		simulation.crash(random.pick([...simulation.upstreams.values()]));
	} else {
		stopHost(simulation, host);
	}
}

/**
 * Injects faults at random intervals.
 *
 * @param simulation - Simulation that the faults hit.
 * @param until - Time of the last fault, in milliseconds.
 */
export function injectFaultsUntil(simulation: Simulation, until: number): void {
	simulation.scheduler.after(simulation.random.integer(100, 1500), () => {
		if (simulation.now < until) {
			injectFault(simulation);
			injectFaultsUntil(simulation, until);
		}
	});
}
