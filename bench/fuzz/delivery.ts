/** Delivers requests in a simulation: to upstreams, and through other hosts. */
import {codes, type Effect, type Ending} from '../../src/core/index.js';
import {epoch, type Exchange, type Host} from './hosts.js';
import {type FakeUpstream} from './upstreams.js';
import {type Simulation} from './simulation.js';

/** An attempt that reached its upstream. */
type DeliveredAttempt = {
	readonly attempt: string;
	readonly exchange: Exchange;
	/** Incarnation of the host that sent it. */
	readonly sender: string;
	readonly sentAt: number;
	readonly finish: (ending: Ending, payload?: string) => void;
};

function getTicketExpiry({request: {proof}}: Exchange): number | undefined {
	return proof.type === 'ticket' ? proof.ticket.expires - epoch : undefined;
}

const brokenEnding: Ending = {
	type: 'unknown', code: codes.streamCut, detail: 'cut', relayed: false,
};

/**
 * Sends an attempt to its upstream and dispatches its ending to the host; with faults, it may break off at any point.
 *
 * @param simulation - Simulation that the host belongs to.
 * @param host - Host that sends it.
 * @param effect - Attempt and upstream.
 */
export function sendAttempt(simulation: Simulation, host: Host, effect: Extract<Effect, {readonly type: 'send'}>): void {
	const {attempt, request} = effect;
	const upstream = simulation.upstreams.get(effect.upstream)!;
	const exchange = host.exchanges.get(request)!;
	const sentAt = simulation.now;
	const finish = (ending: Ending, payload?: string): void => {
		exchange.payload = payload ?? exchange.payload;
		simulation.dispatch(host, {type: 'attempt-ended', attempt, ending});
	};

	simulation.scheduler.after(simulation.random.integer(1, 10), () => {
		if (!upstream.isUp || simulation.isPartitioned(host.name, upstream.id)) {
			finish({
				type: 'not-run', code: codes.notConnected, overload: false, detail: 'refused',
			});
			return;
		}

		simulation.dispatch(host, {type: 'attempt-written', attempt});
		const draw = simulation.options.hasFaults ? simulation.random.integer(1, 100) : 100;
		if (draw <= 3) {
			finish(brokenEnding);
		} else if (draw <= 6) {
			finish({
				type: 'not-run', code: codes.refusedByUpstream, overload: true, detail: 'busy',
			});
		} else if (!upstream.cancelled.has(attempt)) {
			const {incarnation} = host.member;
			executeAttempt(simulation, upstream, {
				attempt, exchange, sender: `${incarnation.host}/${incarnation.started}`, sentAt, finish,
			});
		}
	});
}

function executeAttempt(simulation: Simulation, upstream: FakeUpstream, {
	attempt, exchange, sender, sentAt, finish,
}: DeliveredAttempt): void {
	const {operation, right} = exchange;
	simulation.ledger.executions.push({
		operation, right, upstream: upstream.id, at: simulation.now, expires: getTicketExpiry(exchange),
	});
	upstream.runs.set(attempt, {
		attempt, operation, breakConnection() {
			finish(brokenEnding);
		},
	});
	if (simulation.ledger.operations.get(operation)?.isPoison === true) {
		simulation.scheduler.after(simulation.random.integer(1, 20), () => {
			simulation.crash(upstream, {operation, sender, sentAt});
		});
		return;
	}

	simulation.scheduler.after(simulation.random.integer(5, 300), () => {
		if (!upstream.runs.delete(attempt)) {
			return;
		}

		const isLost = simulation.options.hasFaults && simulation.random.chance(5);
		if (isLost) {
			finish(brokenEnding);
		} else {
			finish({type: 'done', tokens: 1}, operation);
		}
	});
}

/**
 * Forwards a request to another host and dispatches its ending to the host that forwarded it.
 *
 * @param simulation - Simulation that the host belongs to.
 * @param host - Host that forwards it.
 * @param effect - Request and address of the other host.
 */
export function forwardRequest(simulation: Simulation, host: Host, effect: Extract<Effect, {readonly type: 'forward'}>): void {
	const exchange = host.exchanges.get(effect.request)!;
	const target = simulation.aliveHosts.find(each => each.member.callerAddress.port === effect.address.port);
	const finish = (ending: Ending): void => {
		simulation.dispatch(host, {type: 'forward-ended', request: effect.request, ending});
	};

	simulation.scheduler.after(simulation.random.integer(1, 10), () => {
		if (target?.isAlive !== true || simulation.isPartitioned(host.name, target.name)) {
			finish({
				type: 'not-run', code: codes.notConnected, overload: false, detail: 'refused',
			});
			return;
		}

		const request = {...exchange.request, id: simulation.createId('f'), hops: (exchange.request.hops ?? 0) + 1};
		if (simulation.options.hasFaults && simulation.random.chance(3)) {
			finish(brokenEnding);
		} else {
			simulation.deliverRequest(target, request, exchange, answer => {
				simulation.scheduler.after(simulation.random.integer(1, 10), () => {
					const isLost = simulation.isPartitioned(host.name, target.name)
						|| !target.isAlive
						|| (simulation.options.hasFaults && simulation.random.chance(3));
					if (!isLost) {
						exchange.forwardedAnswer = answer;
					}

					finish(isLost ? brokenEnding : {type: 'done', tokens: 1});
				});
			});
		}
	});
}
