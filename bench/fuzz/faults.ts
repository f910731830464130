/** Faults at random times: partitions, kills, pauses, broken links, crashing upstreams and planned stops. */
import {type Host} from './hosts.js';
import {type World} from './world.js';

function partition(world: World): void {
	const {dice} = world;
	for (const host of world.hosts.keys()) {
		world.sides.set(host, dice.integer(0, 1));
	}

	for (const domain of world.plan.failureDomains) {
		const side = dice.integer(0, 1);
		for (const upstream of world.upstreams.values()) {
			if (upstream.failureDomain === domain) {
				world.sides.set(upstream.id, side);
			}
		}
	}

	world.agenda.after(dice.integer(200, 4000), () => {
		world.sides.clear();
	});
}

function replace(world: World, host: Host): void {
	world.agenda.after(world.dice.integer(50, 2000), () => {
		if (world.hosts.get(host.name) === host && !host.isAlive) {
			world.start(host.name, host.member.failureDomain);
		}
	});
}

function pause(world: World, host: Host): void {
	const length = world.dice.integer(600, 4000);
	host.isPaused = true;
	for (const exchange of host.exchanges.values()) {
		exchange.visit.excused = true;
	}

	world.agenda.after(length, () => {
		if (host.isAlive) {
			world.wake(host, length);
		}
	});
}

function stop(world: World, host: Host): void {
	world.dispatch(host, {type: 'stop-asked', grace: 5000});
	world.agenda.after(6000, () => {
		if (host.isAlive) {
			world.end(host);
		}

		replace(world, host);
	});
}

/** A rack or a power line goes: nobody is left that remembers. */
function endAll(world: World): void {
	for (const host of world.living) {
		world.end(host);
		replace(world, host);
	}
}

function strike(world: World): void {
	const {dice} = world;
	const awake = world.living.filter(host => !host.isPaused);
	if (awake.length === 0) {
		return;
	}

	const host = dice.pick(awake);
	if (dice.chance(4)) {
		endAll(world);
		return;
	}

	const die = dice.integer(1, 100);
	if (die <= 20) {
		partition(world);
	} else if (die <= 40) {
		world.end(host);
		replace(world, host);
	} else if (die <= 60) {
		pause(world, host);
	} else if (die <= 75) {
		const links = world.links.names();
		if (links.length > 0) {
			world.links.cut(dice.pick(links));
		}
	} else if (die <= 90) {
		world.crash(dice.pick([...world.upstreams.values()]));
	} else {
		stop(world, host);
	}
}

/**
 * @param world - World that is to suffer.
 * @param until - Time of the last fault, in milliseconds.
 */
export function strikeUntil(world: World, until: number): void {
	world.agenda.after(world.dice.integer(100, 1500), () => {
		if (world.now < until) {
			strike(world);
			strikeUntil(world, until);
		}
	});
}
