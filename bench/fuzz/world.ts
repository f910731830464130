/** Several hosts' cores, tiny upstreams and a network that delays, loses and repeats what it carries. */
import {
	type Configuration, type Effect, type Event, type Member, type Request,
} from '../../src/core/index.js';
import {configurationOf} from './configuration.js';
import {Host, epoch, type Answer} from './hosts.js';
import {listHolds, releaseHold} from './holds.js';
import {Ledger, type Crash} from './ledger.js';
import {Links} from './links.js';
import {type Mutation} from './mutations.js';
import {Agenda} from './queue.js';
import {Dice} from './random.js';
import {forwardRequest, sendAttempt} from './relays.js';
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
	readonly links = new Links(this);
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
		if (before !== undefined) {
			this.ledger.restarts.push(this.now);
		}

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
		for (const key of this.links.names()) {
			if (key.split(' ').includes(host.name)) {
				this.links.cut(key);
			}
		}

		for (const exchange of host.exchanges.values()) {
			exchange.visit.excused = true;
		}
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

	crash(upstream: FakeUpstream, cause?: Pick<Crash, 'operation' | 'sender' | 'sentAt'>): void {
		if (!upstream.isUp) {
			return;
		}

		if (cause !== undefined) {
			this.ledger.crashes.push({
				...cause, upstream: upstream.id, failureDomain: upstream.failureDomain, at: this.now,
			});
		}

		upstream.crash();
		this.agenda.after(this.dice.integer(200, 2000), () => {
			upstream.restart();
		});
	}

	#beat(): void {
		this.agenda.after(tickInterval, () => {
			this.links.connect();
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

	#execute(host: Host, effects: readonly Effect[]): void {
		for (const effect of effects) {
			this.#do(host, effect);
		}
	}

	#do(host: Host, effect: Effect): void {
		switch (effect.type) {
			case 'send': {
				sendAttempt(this, host, effect);
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
				forwardRequest(this, host, effect);
				break;
			}

			case 'issue-ticket': {
				host.tickets.get(effect.request)?.(effect.ticket);
				break;
			}

			case 'peer-send': {
				this.links.carry(host, effect.to, effect.message);
				break;
			}

			case 'connect': {
				host.wanted.set(effect.host, effect.address.port);
				break;
			}

			case 'disconnect': {
				host.wanted.delete(effect.host);
				this.links.cut([host.name, effect.host].toSorted().join(' '));
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

	#answer(host: Host, request: string, effect: Extract<Effect, {readonly type: 'answer'}>): void {
		const exchange = host.exchanges.get(request);
		if (exchange === undefined || exchange.answer !== undefined) {
			return;
		}

		const own = {effect, payload: exchange.payload, decidedAt: this.now};
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
}
