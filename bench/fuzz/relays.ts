/** The ways of requests through the fuzz world: to upstreams, and through other hosts. */
import {codes, type Effect, type Ending} from '../../src/core/index.js';
import {epoch, type Exchange, type Host} from './hosts.js';
import {type FakeUpstream} from './upstreams.js';
import {type World} from './world.js';

/** An attempt that has reached its upstream. */
type Arrival = {
	readonly attempt: string;
	readonly exchange: Exchange;
	/** Run of the host that sent it. */
	readonly sender: string;
	readonly sentAt: number;
	readonly over: (ending: Ending, payload?: string) => void;
};

function expiryOf({request: {proof}}: Exchange): number | undefined {
	return proof.type === 'ticket' ? proof.ticket.expires - epoch : undefined;
}

const broken: Ending = {
	type: 'unknown', code: codes.streamCut, detail: 'cut', relayed: false,
};

/**
 * An attempt's way to the upstream and back; anything may break at any point.
 *
 * @param world - World.
 * @param host - Host that sends it.
 * @param effect - What it sends.
 */
export function sendAttempt(world: World, host: Host, effect: Extract<Effect, {readonly type: 'send'}>): void {
	const {attempt, request} = effect;
	const upstream = world.upstreams.get(effect.upstream)!;
	const exchange = host.exchanges.get(request)!;
	const sentAt = world.now;
	const over = (ending: Ending, payload?: string): void => {
		exchange.payload = payload ?? exchange.payload;
		world.dispatch(host, {type: 'attempt-ended', attempt, ending});
	};

	world.agenda.after(world.dice.integer(1, 10), () => {
		if (!upstream.isUp || world.isCut(host.name, upstream.id)) {
			over({
				type: 'not-run', code: codes.notConnected, overload: false, detail: 'refused',
			});
			return;
		}

		world.dispatch(host, {type: 'attempt-written', attempt});
		const fate = world.plan.faults ? world.dice.integer(1, 100) : 100;
		if (fate <= 3) {
			over(broken);
		} else if (fate <= 6) {
			over({
				type: 'not-run', code: codes.refusedByUpstream, overload: true, detail: 'busy',
			});
		} else if (!upstream.cancelled.has(attempt)) {
			const {incarnation} = host.member;
			execute(world, upstream, {
				attempt, exchange, sender: `${incarnation.host}/${incarnation.started}`, sentAt, over,
			});
		}
	});
}

function execute(world: World, upstream: FakeUpstream, {
	attempt, exchange, sender, sentAt, over,
}: Arrival): void {
	const {operation, right} = exchange;
	world.ledger.executions.push({
		operation, right, upstream: upstream.id, at: world.now, expires: expiryOf(exchange),
	});
	upstream.runs.set(attempt, {
		attempt, operation, breakOff() {
			over(broken);
		},
	});
	if (world.ledger.operations.get(operation)?.kills === true) {
		world.agenda.after(world.dice.integer(1, 20), () => {
			world.crash(upstream, {operation, sender, sentAt});
		});
		return;
	}

	world.agenda.after(world.dice.integer(5, 300), () => {
		if (!upstream.runs.delete(attempt)) {
			return;
		}

		const isLost = world.plan.faults && world.dice.chance(5);
		if (isLost) {
			over(broken);
		} else {
			over({type: 'done', tokens: 1}, operation);
		}
	});
}

/**
 * A request's way through another host and back.
 *
 * @param world - World.
 * @param host - Host that passes it on.
 * @param effect - What it passes on.
 */
export function forwardRequest(world: World, host: Host, effect: Extract<Effect, {readonly type: 'forward'}>): void {
	const exchange = host.exchanges.get(effect.request)!;
	const target = world.living.find(each => each.member.callerAddress.port === effect.address.port);
	const over = (ending: Ending): void => {
		world.dispatch(host, {type: 'forward-ended', request: effect.request, ending});
	};

	world.agenda.after(world.dice.integer(1, 10), () => {
		if (target?.isAlive !== true || world.isCut(host.name, target.name)) {
			over({
				type: 'not-run', code: codes.notConnected, overload: false, detail: 'refused',
			});
			return;
		}

		const request = {...exchange.request, id: world.name('f'), hops: (exchange.request.hops ?? 0) + 1};
		if (world.plan.faults && world.dice.chance(3)) {
			over(broken);
		} else {
			world.arrive(target, request, exchange, answer => {
				world.agenda.after(world.dice.integer(1, 10), () => {
					const isLost = world.isCut(host.name, target.name) || !target.isAlive || (world.plan.faults && world.dice.chance(3));
					if (!isLost) {
						exchange.passed = answer;
					}

					over(isLost ? broken : {type: 'done', tokens: 1});
				});
			});
		}
	});
}
