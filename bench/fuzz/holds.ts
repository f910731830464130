/** Holds of the fuzz world: taken, given back or forgotten by their owners, and listed to every host. */
import {type Effect, type Hold} from '../../src/core/index.js';
import {epoch, type Host} from './hosts.js';
import {type FakeUpstream} from './upstreams.js';
import {type World} from './world.js';

const listInterval = 500;

/** The longest that a hold may outlive its deadline: the grace, a listing and the asks that are lost. */
const longestLeft = 12_000;

function isAlive(world: World, {owner}: Hold): boolean {
	const host = world.hosts.get(owner.host);
	return host?.isAlive === true && host.member.incarnation.started === owner.started;
}

/**
 * A host takes a hold; it gives it back later, unless it forgets.
 *
 * @param world - World.
 * @param host - Owner.
 */
export function takeHold(world: World, host: Host): void {
	const {dice} = world;
	const upstream = dice.pick([...world.upstreams.values()]);
	const hold: Hold = {
		id: world.name('h'),
		upstream: upstream.id,
		owner: host.member.incarnation,
		tokens: 1,
		deadline: host.wall(world.now) + dice.integer(1000, 5000),
	};
	upstream.holds.set(hold.id, hold);
	if (dice.chance(60)) {
		world.agenda.after(dice.integer(100, 3000), () => {
			world.dispatch(host, {type: 'release-wanted', hold: hold.id, upstream: upstream.id});
		});
	}
}

/**
 * @param world - World.
 * @param host - Host that asks.
 * @param effect - What it asks back.
 */
export function releaseHold(world: World, host: Host, effect: Extract<Effect, {readonly type: 'release'}>): void {
	const upstream = world.upstreams.get(effect.upstream)!;
	const isLost = world.plan.faults && world.dice.chance(20);
	world.agenda.after(world.dice.integer(1, 10), () => {
		if (isLost || !upstream.isUp || world.isCut(host.name, upstream.id)) {
			return;
		}

		const hold = upstream.holds.get(effect.hold);
		upstream.holds.delete(effect.hold);
		if (hold !== undefined) {
			const isOwn = hold.owner.host === host.name && hold.owner.started === host.member.incarnation.started;
			world.ledger.holdEnds.push({
				hold: hold.id,
				owner: hold.owner.host,
				wasLive: !isOwn && isAlive(world, hold) && epoch + world.now <= hold.deadline,
				at: world.now,
			});
		}

		world.dispatch(host, {type: 'hold-released', hold: effect.hold, upstream: upstream.id});
	});
}

function report(world: World, host: Host, upstream: FakeUpstream): void {
	world.dispatch(host, {
		type: 'report-received', report: {
			upstream: upstream.id,
			incarnation: `i${upstream.incarnation}`,
			age: 20,
			ready: true,
			running: upstream.runs.size,
			waiting: 0,
			queuedPrefill: 0,
			usedMemory: 0,
			memory: 1,
		},
	});
	world.dispatch(host, {type: 'holds-listed', upstream: upstream.id, holds: [...upstream.holds.values()]});
}

/**
 * Lists all holds and reports to every host in reach, again and again.
 *
 * @param world - World.
 */
export function listHolds(world: World): void {
	world.agenda.after(listInterval, () => {
		for (const host of world.living) {
			for (const upstream of world.upstreams.values()) {
				if (!host.isPaused && upstream.isUp && !world.isCut(host.name, upstream.id)) {
					report(world, host, upstream);
				}
			}
		}

		listHolds(world);
	});
}

/**
 * @param world - World at its end.
 */
export function noteLeftHolds(world: World): void {
	for (const upstream of world.upstreams.values()) {
		for (const hold of upstream.holds.values()) {
			if (epoch + world.now > hold.deadline + longestLeft) {
				world.ledger.leftHolds.push(`${hold.id} of ${hold.owner.host} at ${upstream.id}`);
			}
		}
	}
}
