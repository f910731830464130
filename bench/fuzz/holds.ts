/** Holds of a simulation: created, released or forgotten by their owners, and reported to every host. */
import {type Effect, type Hold} from '../../src/core/index.js';
import {epoch, type Host} from './hosts.js';
import {type FakeUpstream} from './upstreams.js';
import {type Simulation} from './simulation.js';

const reportIntervalMs = 500;

/** How long a hold may outlive its deadline: the grace period, a report interval and lost release requests. */
const maxOverdueMs = 12_000;

function isOwnerAlive(simulation: Simulation, {owner}: Hold): boolean {
	const host = simulation.hosts.get(owner.host);
	return host?.isAlive === true && host.member.incarnation.started === owner.started;
}

/**
 * Creates a hold that its owner releases later or forgets.
 *
 * @param simulation - Simulation that it belongs to.
 * @param host - Owner.
 */
export function createHold(simulation: Simulation, host: Host): void {
	const {random} = simulation;
	const upstream = random.pick([...simulation.upstreams.values()]);
	const hold: Hold = {
		id: simulation.createId('h'),
		upstream: upstream.id,
		owner: host.member.incarnation,
		tokens: 1,
		deadline: host.getWallTime(simulation.now) + random.integer(1000, 5000),
	};
	upstream.holds.set(hold.id, hold);
	if (random.chance(60)) {
		simulation.scheduler.after(random.integer(100, 3000), () => {
			simulation.dispatch(host, {type: 'release-wanted', hold: hold.id, upstream: upstream.id});
		});
	}
}

/**
 * Delivers a release request to the upstream; with faults, some requests are lost.
 *
 * @param simulation - Simulation that the host belongs to.
 * @param host - Host that sends the request.
 * @param effect - Hold and upstream.
 */
export function releaseHold(simulation: Simulation, host: Host, effect: Extract<Effect, {readonly type: 'release'}>): void {
	const upstream = simulation.upstreams.get(effect.upstream)!;
	const isLost = simulation.options.hasFaults && simulation.random.chance(20);
	simulation.scheduler.after(simulation.random.integer(1, 10), () => {
		if (isLost || !upstream.isUp || simulation.isPartitioned(host.name, upstream.id)) {
			return;
		}

		const hold = upstream.holds.get(effect.hold);
		upstream.holds.delete(effect.hold);
		if (hold !== undefined) {
			const isOwn = hold.owner.host === host.name && hold.owner.started === host.member.incarnation.started;
			simulation.ledger.holdReleases.push({
				hold: hold.id,
				owner: hold.owner.host,
				isPremature: !isOwn && isOwnerAlive(simulation, hold) && epoch + simulation.now <= hold.deadline,
				at: simulation.now,
			});
		}

		simulation.dispatch(host, {type: 'hold-released', hold: effect.hold, upstream: upstream.id});
	});
}

function sendReport(simulation: Simulation, host: Host, upstream: FakeUpstream): void {
	simulation.dispatch(host, {
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
	simulation.dispatch(host, {type: 'holds-listed', upstream: upstream.id, holds: [...upstream.holds.values()]});
}

/**
 * Sends the load report and the holds of each upstream to every reachable host, at regular intervals.
 *
 * @param simulation - Simulation that runs.
 */
export function scheduleReports(simulation: Simulation): void {
	simulation.scheduler.after(reportIntervalMs, () => {
		for (const host of simulation.aliveHosts) {
			for (const upstream of simulation.upstreams.values()) {
				if (!host.isPaused && upstream.isUp && !simulation.isPartitioned(host.name, upstream.id)) {
					sendReport(simulation, host, upstream);
				}
			}
		}

		scheduleReports(simulation);
	});
}

/**
 * Records holds that are overdue at the end of a run.
 *
 * @param simulation - Simulation that has ended.
 */
export function recordUnreleasedHolds(simulation: Simulation): void {
	for (const upstream of simulation.upstreams.values()) {
		for (const hold of upstream.holds.values()) {
			if (epoch + simulation.now > hold.deadline + maxOverdueMs) {
				simulation.ledger.unreleasedHolds.push(`${hold.id} of ${hold.owner.host} at ${upstream.id}`);
			}
		}
	}
}
