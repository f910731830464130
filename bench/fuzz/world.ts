/** Several hosts' cores, tiny upstreams and a network that delays, loses and repeats what it carries. */
import {
	codes, type Configuration, type Effect, type Ending, type Event, type Member, type PeerMessage, type Request,
} from '../../src/core/index.js';
import {configurationOf} from './configuration.js';
import {
	Host, epoch, type Answer, type Exchange,
} from './hosts.js';
import {listHolds, releaseHold} from './holds.js';
import {Ledger} from './ledger.js';
import {type Mutation} from './mutations.js';
import {Agenda} from './queue.js';
import {Dice} from './random.js';
import {FakeUpstream} from './upstreams.js';

export const tickInterval = 50;
const listInterval = 500;
const listLag = 300;
const firstPort = 1000;

/** What a world is made of. */
export type Plan = {
	readonly seed: number;
	readonly failureDomains: readonly string[];
	readonly hostsPerDomain: number;
	readonly upstreamsPerDomain: number;
	/** Whether the network, hosts and upstreams fail. */
	readonly faults: boolean;
	readonly mutation?: Mutation;
};

type Link = {
	/** Time of the last message each way, so that they keep their order. */
	readonly last: Map<string, number>;
};

export class World {
	readonly agenda = new Agenda();
	readonly ledger = new Ledger();
	readonly dice: Dice;
	readonly hosts = new Map<string, Host>();
	readonly upstreams = new Map<string, FakeUpstream>();
	readonly plan: Plan;
	readonly configuration: Configuration;
	/** Side of the partition that each host and upstream is on; all on one when healed. */
	readonly sides = new Map<string, number>();
	readonly #links = new Map<string, Link>();
	#ids = 0;
	#listed: readonly Member[] = [];

	constructor(plan: Plan) {
		this.plan = plan;
		this.dice = new Dice(plan.seed);
		for (const domain of plan.failureDomains) {
			for (let index = 1; index <= plan.upstreamsPerDomain; index++) {
				const id = `${domain}u${index}`;
				this.upstreams.set(id, new FakeUpstream(id, domain, firstPort + this.upstreams.size));
			}
		}

		this.configuration = configurationOf(plan.failureDomains, [...this.upstreams.values()]);
		for (const domain of plan.failureDomains) {
			for (let index = 1; index <= plan.hostsPerDomain; index++) {
				this.start(`${domain}${index}`, domain);
			}
		}

		this.#beat();
		listHolds(this);
	}

	get now(): number {
		return this.agenda.now;
	}

	/** @returns Hosts whose process runs, paused ones included. */
	get living(): readonly Host[] {
		return [...this.hosts.values()].filter(host => host.isAlive);
	}

	/**
	 * @param prefix - What is named.
	 * @returns A name that nothing else has.
	 */
	name(prefix: string): string {
		this.#ids++;
		return `${prefix}${this.#ids}`;
	}

	/** Starts a process at a host's name and address, in place of one that has ended. */
	start(name: string, failureDomain: string): void {
		const before = this.hosts.get(name);
		const port = before?.member.peerAddress.port ?? firstPort * (2 + this.hosts.size);
		const skew = this.dice.integer(-400, 400);
		const member: Member = {
			// A host's clock may be wrong, but a later start never looks earlier than the one before.
			incarnation: {host: name, started: Math.max(epoch + this.now + skew, (before?.member.incarnation.started ?? 0) + 1)},
			failureDomain,
			peerAddress: {host: 'host', port},
			callerAddress: {host: 'host', port: port + 1},
		};
		const host = new Host(member, {dice: this.dice, ledger: this.ledger, mutation: this.plan.mutation}, skew);
		this.hosts.set(name, host);
		this.#listed = this.living.map(each => each.member);
		this.agenda.after(this.dice.integer(1, 100), () => {
			this.dispatch(host, {
				type: 'configuration-received', source: {type: 'platform'}, configuration: this.configuration, digest: 'd', text: 'd',
			});
			this.dispatch(host, {type: 'hosts-listed', members: this.#lagging(), leaving: []});
		});
	}

	/** The process ends: callers, links and attempts of it break. */
	end(host: Host): void {
		host.isAlive = false;
		for (const key of this.#links.keys()) {
			if (key.split(' ').includes(host.name)) {
				this.cutLink(key);
			}
		}

		for (const exchange of host.exchanges.values()) {
			exchange.visit.excused = true;
		}
	}

	cutLink(key: string): void {
		if (this.#links.delete(key)) {
			const [a, b] = key.split(' ');
			this.dispatch(this.hosts.get(a!)!, {type: 'peer-lost', host: b!});
			this.dispatch(this.hosts.get(b!)!, {type: 'peer-lost', host: a!});
		}
	}

	/** @returns Names of all links, each the names of its two hosts. */
	links(): readonly string[] {
		return [...this.#links.keys()];
	}

	isCut(a: string, b: string): boolean {
		return (this.sides.get(a) ?? 0) !== (this.sides.get(b) ?? 0);
	}

	dispatch(host: Host, event: Event): void {
		this.#execute(host, host.take(event, this.now));
	}

	wake(host: Host, pause: number): void {
		this.#execute(host, host.wake(pause, this.now));
	}

	/**
	 * Brings a request to a host, as a caller or another host does.
	 *
	 * @param host - Host that takes it.
	 * @param request - Request.
	 * @param about - What the outside knows of it.
	 * @param about.operation - Operation.
	 * @param about.right - Right it is sent under.
	 * @param receive - Takes the answer.
	 */
	arrive(host: Host, request: Request, about: {readonly operation: string; readonly right: string}, receive: (answer: Answer) => void): void {
		const visit = {
			host: host.name, request: request.id, deadline: request.deadline, excused: host.isPaused || request.deadline <= this.now,
		};
		this.ledger.visits.push(visit);
		host.exchanges.set(request.id, {
			request, operation: about.operation, right: about.right, receivers: [receive], visit,
		});
		this.dispatch(host, {type: 'request-arrived', request});
	}

	crash(upstream: FakeUpstream, operation?: string): void {
		if (!upstream.isUp) {
			return;
		}

		if (operation !== undefined) {
			this.ledger.crashes.push({upstream: upstream.id, failureDomain: upstream.failureDomain, operation});
		}

		upstream.crash();
		this.agenda.after(this.dice.integer(200, 2000), () => {
			upstream.restart();
		});
	}

	#beat(): void {
		this.agenda.after(tickInterval, () => {
			this.#connect();
			for (const host of this.living) {
				this.dispatch(host, {type: 'tick'});
			}

			if (this.now % listInterval === 0) {
				this.#list();
			}

			this.#beat();
		});
	}

	/** Hosts that have run for some time: the platform's list lags. */
	#lagging(): readonly Member[] {
		return this.living.map(each => each.member).filter(each => each.incarnation.started < epoch + this.now - listLag);
	}

	/** The platform is on side 0; its list is one interval old. */
	#list(): void {
		const members = this.#listed;
		this.#listed = this.living.map(each => each.member);
		for (const host of this.living) {
			if ((this.sides.get(host.name) ?? 0) === 0) {
				this.dispatch(host, {type: 'hosts-listed', members, leaving: []});
			}
		}
	}

	#connect(): void {
		for (const key of this.#links.keys()) {
			const [a, b] = key.split(' ');
			if (this.isCut(a!, b!)) {
				this.cutLink(key);
			}
		}

		for (const host of this.living) {
			for (const [name, port] of host.wanted) {
				const other = this.living.find(each => each.member.peerAddress.port === port);
				if (other?.name === name && !host.isPaused && !other.isPaused) {
					this.#link(host, other);
				}
			}
		}
	}

	#link(a: Host, b: Host): void {
		const key = [a.name, b.name].toSorted().join(' ');
		if (this.#links.has(key) || a === b || this.isCut(a.name, b.name)) {
			return;
		}

		this.#links.set(key, {last: new Map()});
		for (const [host, other] of [[a, b], [b, a]] as const) {
			this.dispatch(host, {type: 'peer-connected', host: other.name});
			this.dispatch(host, {
				type: 'peer-message', from: other.name, message: {
					type: 'hello', member: other.member, phase: other.state.membership.phase, revision: other.state.configuration.inForce?.revision ?? 0,
				},
			});
		}
	}

	#carry(from: Host, to: string, message: PeerMessage): void {
		const key = [from.name, to].toSorted().join(' ');
		const link = this.#links.get(key);
		if (link === undefined) {
			return;
		}

		const at = Math.max(link.last.get(to) ?? 0, this.now + this.dice.integer(1, 10));
		link.last.set(to, at);
		const copies = this.plan.faults && this.dice.chance(2) ? 2 : 1;
		for (let copy = 1; copy <= copies; copy++) {
			this.agenda.after((at - this.now) * copy, () => {
				if (this.#links.get(key) === link) {
					this.dispatch(this.hosts.get(to)!, {type: 'peer-message', from: from.name, message});
				}
			});
		}
	}

	#execute(host: Host, effects: readonly Effect[]): void {
		for (const effect of effects) {
			this.#do(host, effect);
		}
	}

	#do(host: Host, effect: Effect): void {
		switch (effect.type) {
			case 'send': {
				this.#send(host, effect);
				break;
			}

			case 'cancel': {
				this.upstreams.get(effect.upstream)?.cancelled.add(effect.attempt);
				break;
			}

			case 'answer': {
				this.#answer(host, effect.request, effect);
				break;
			}

			case 'replay': {
				this.#replay(host, effect.request, effect.original);
				break;
			}

			case 'forward': {
				this.#forward(host, effect);
				break;
			}

			case 'issue-ticket': {
				host.tickets.get(effect.request)?.(effect.ticket);
				break;
			}

			case 'peer-send': {
				this.#carry(host, effect.to, effect.message);
				break;
			}

			case 'connect': {
				host.wanted.set(effect.host, effect.address.port);
				break;
			}

			case 'disconnect': {
				host.wanted.delete(effect.host);
				this.cutLink([host.name, effect.host].toSorted().join(' '));
				break;
			}

			case 'release': {
				releaseHold(this, host, effect);
				break;
			}

			case 'stopped': {
				this.end(host);
				break;
			}

			default: {
				break;
			}
		}
	}

	/** An attempt's way to the upstream and back; anything may break at any point. */
	#send(host: Host, effect: Extract<Effect, {readonly type: 'send'}>): void {
		const {attempt, request} = effect;
		const upstream = this.upstreams.get(effect.upstream)!;
		const exchange = host.exchanges.get(request)!;
		const over = (ending: Ending, payload?: string): void => {
			exchange.payload = payload ?? exchange.payload;
			this.dispatch(host, {type: 'attempt-ended', attempt, ending});
		};

		this.agenda.after(this.dice.integer(1, 10), () => {
			if (!upstream.isUp || this.isCut(host.name, upstream.id)) {
				over({
					type: 'not-run', code: codes.notConnected, overload: false, detail: 'refused',
				});
				return;
			}

			this.dispatch(host, {type: 'attempt-written', attempt});
			const fate = this.plan.faults ? this.dice.integer(1, 100) : 100;
			if (fate <= 3) {
				over(broken);
			} else if (fate <= 6) {
				over({
					type: 'not-run', code: codes.refusedByUpstream, overload: true, detail: 'busy',
				});
			} else if (!upstream.cancelled.has(attempt)) {
				this.#run(upstream, exchange, attempt, over);
			}
		});
	}

	#run(upstream: FakeUpstream, exchange: Exchange, attempt: string, over: (ending: Ending, payload?: string) => void): void {
		const {operation, right} = exchange;
		this.ledger.executions.push({
			operation, right, upstream: upstream.id, at: this.now, expires: expiryOf(exchange),
		});
		upstream.runs.set(attempt, {
			attempt, operation, breakOff() {
				over(broken);
			},
		});
		if (this.ledger.operations.get(operation)?.kills === true) {
			this.agenda.after(this.dice.integer(1, 20), () => {
				this.crash(upstream, operation);
			});
			return;
		}

		this.agenda.after(this.dice.integer(5, 300), () => {
			if (!upstream.runs.delete(attempt)) {
				return;
			}

			const isLost = this.plan.faults && this.dice.chance(5);
			if (isLost) {
				over(broken);
			} else {
				over({type: 'done', tokens: 1}, operation);
			}
		});
	}

	#answer(host: Host, request: string, effect: Extract<Effect, {readonly type: 'answer'}>): void {
		const exchange = host.exchanges.get(request);
		if (exchange === undefined || exchange.answer !== undefined) {
			return;
		}

		const own = {effect, payload: exchange.payload};
		exchange.answer = effect.outcome.type === 'done' ? exchange.passed ?? own : own;
		exchange.visit.answeredAt = this.now;
		for (const receive of exchange.receivers.splice(0)) {
			receive(exchange.answer);
		}
	}

	#replay(host: Host, request: string, original: string): void {
		const exchange = host.exchanges.get(request)!;
		const source = host.exchanges.get(original)!;
		const pass = (answer: Answer): void => {
			exchange.payload = answer.payload;
			this.#answer(host, request, {...answer.effect, request});
		};

		if (source.answer === undefined) {
			source.receivers.push(pass);
		} else {
			pass(source.answer);
		}
	}

	#forward(host: Host, effect: Extract<Effect, {readonly type: 'forward'}>): void {
		const exchange = host.exchanges.get(effect.request)!;
		const target = this.living.find(each => each.member.callerAddress.port === effect.address.port);
		const over = (ending: Ending): void => {
			this.dispatch(host, {type: 'forward-ended', request: effect.request, ending});
		};

		this.agenda.after(this.dice.integer(1, 10), () => {
			if (target?.isAlive !== true || this.isCut(host.name, target.name)) {
				over({
					type: 'not-run', code: codes.notConnected, overload: false, detail: 'refused',
				});
				return;
			}

			const request = {...exchange.request, id: this.name('f'), hops: (exchange.request.hops ?? 0) + 1};
			if (this.plan.faults && this.dice.chance(3)) {
				over(broken);
			} else {
				this.arrive(target, request, exchange, answer => {
					this.agenda.after(this.dice.integer(1, 10), () => {
						const isLost = this.isCut(host.name, target.name) || !target.isAlive || (this.plan.faults && this.dice.chance(3));
						if (!isLost) {
							exchange.passed = answer;
						}

						over(isLost ? broken : {type: 'done', tokens: 1});
					});
				});
			}
		});
	}
}

function expiryOf({request: {proof}}: Exchange): number | undefined {
	return proof.type === 'ticket' ? proof.ticket.expires - epoch : undefined;
}

const broken: Ending = {
	type: 'unknown', code: codes.streamCut, detail: 'cut', relayed: false,
};
