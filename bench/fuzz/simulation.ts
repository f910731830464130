/** Simulates the cores of several hosts, minimal upstreams and a network that delays, loses and repeats messages. */
import {
	type Configuration, type Effect, type Event, type Member, type Request,
} from '../../src/core/index.js';
import {createConfiguration} from './configuration.js';
import {Host, epoch, type Answer} from './hosts.js';
import {scheduleReports, releaseHold} from './holds.js';
import {Ledger, type Crash} from './ledger.js';
import {Links} from './links.js';
import {type Mutation} from './mutations.js';
import {Scheduler} from './scheduler.js';
import {SeededRandom} from './random.js';
import {forwardRequest, sendAttempt} from './delivery.js';
import {FakeUpstream} from './upstreams.js';

export const tickIntervalMs = 50;
const listIntervalMs = 500;
const listLagMs = 300;
const firstPort = 1000;

export type SimulationOptions = {
	readonly seed: number;
	readonly failureDomains: readonly string[];
	readonly hostsPerDomain: number;
	readonly upstreamsPerDomain: number;
	/** Whether the network, hosts and upstreams fail. */
	readonly hasFaults: boolean;
	readonly mutation?: Mutation;
};

export class Simulation {
	readonly scheduler = new Scheduler();
	readonly ledger = new Ledger();
	readonly random: SeededRandom;
	readonly hosts = new Map<string, Host>();
	readonly upstreams = new Map<string, FakeUpstream>();
	readonly options: SimulationOptions;
	readonly configuration: Configuration;
	/** Side of the partition that each host and upstream is on; empty without a partition. */
	readonly partitionSides = new Map<string, number>();
	readonly links = new Links(this);
	#ids = 0;
	#latestList: readonly Member[] = [];

	constructor(options: SimulationOptions) {
		this.options = options;
		this.random = new SeededRandom(options.seed);
		for (const domain of options.failureDomains) {
			for (let index = 1; index <= options.upstreamsPerDomain; index++) {
				const id = `${domain}u${index}`;
				this.upstreams.set(id, new FakeUpstream(id, domain, firstPort + this.upstreams.size));
			}
		}

		this.configuration = createConfiguration(options.failureDomains, [...this.upstreams.values()]);
		for (const domain of options.failureDomains) {
			for (let index = 1; index <= options.hostsPerDomain; index++) {
				this.startHost(`${domain}${index}`, domain);
			}
		}

		this.#scheduleTick();
		scheduleReports(this);
	}

	get now(): number {
		return this.scheduler.now;
	}

	/** @returns Hosts whose process runs, paused ones included. */
	get aliveHosts(): readonly Host[] {
		return [...this.hosts.values()].filter(host => host.isAlive);
	}

	/**
	 * @param prefix - Prefix of the id.
	 * @returns An id that is unique in this simulation.
	 */
	createId(prefix: string): string {
		this.#ids++;
		return `${prefix}${this.#ids}`;
	}

	/** Starts a process with a host's name and address, in place of one that has ended. */
	startHost(name: string, failureDomain: string): void {
		const previous = this.hosts.get(name);
		const port = previous?.member.peerAddress.port ?? firstPort * (2 + this.hosts.size);
		if (previous !== undefined) {
			this.ledger.restarts.push(this.now);
		}

		const clockSkew = this.random.integer(-400, 400);
		const member: Member = {
			// A host's clock may be wrong, but a restart never appears earlier than the start before it.
			incarnation: {host: name, started: Math.max(epoch + this.now + clockSkew, (previous?.member.incarnation.started ?? 0) + 1)},
			failureDomain,
			peerAddress: {host: 'host', port},
			callerAddress: {host: 'host', port: port + 1},
		};
		const host = new Host(member, {random: this.random, ledger: this.ledger, mutation: this.options.mutation}, clockSkew);
		this.hosts.set(name, host);
		this.#latestList = this.aliveHosts.map(each => each.member);
		this.scheduler.after(this.random.integer(1, 100), () => {
			this.dispatch(host, {
				type: 'configuration-received', source: {type: 'platform'}, configuration: this.configuration, digest: 'd', text: 'd',
			});
			this.dispatch(host, {type: 'hosts-listed', members: this.#findListedMembers(), leaving: []});
		});
	}

	/** Ends the process of a host: its links break, and its requests need no answer. */
	terminate(host: Host): void {
		host.isAlive = false;
		for (const key of this.links.getNames()) {
			if (key.split(' ').includes(host.name)) {
				this.links.cut(key);
			}
		}

		for (const exchange of host.exchanges.values()) {
			exchange.hostRequest.isExempt = true;
		}
	}

	isPartitioned(a: string, b: string): boolean {
		return (this.partitionSides.get(a) ?? 0) !== (this.partitionSides.get(b) ?? 0);
	}

	dispatch(host: Host, event: Event): void {
		this.#executeEffects(host, host.handle(event, this.now));
	}

	resume(host: Host, pause: number): void {
		this.#executeEffects(host, host.resume(pause, this.now));
	}

	/**
	 * Delivers a request to a host, as a caller or another host does.
	 *
	 * @param host - Host that receives it.
	 * @param origin - What the ledger records of it.
	 * @param origin.operation - Id of the operation.
	 * @param origin.right - Right that it is sent under.
	 * @param handleAnswer - Called with the answer.
	 */
	deliverRequest(
		host: Host,
		request: Request,
		origin: {readonly operation: string; readonly right: string},
		handleAnswer: (answer: Answer) => void,
	): void {
		const hostRequest = {
			host: host.name, request: request.id, deadline: request.deadline, isExempt: host.isPaused || request.deadline <= this.now,
		};
		this.ledger.hostRequests.push(hostRequest);
		host.exchanges.set(request.id, {
			request, operation: origin.operation, right: origin.right, answerHandlers: [handleAnswer], hostRequest,
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
		this.scheduler.after(this.random.integer(200, 2000), () => {
			upstream.restart();
		});
	}

	#scheduleTick(): void {
		this.scheduler.after(tickIntervalMs, () => {
			this.links.refresh();
			for (const host of this.aliveHosts) {
				this.dispatch(host, {type: 'tick'});
			}

			if (this.now % listIntervalMs === 0) {
				this.#sendHostList();
			}

			this.#scheduleTick();
		});
	}

	/** Returns the hosts that have run for some time, since the platform's list lags behind. */
	#findListedMembers(): readonly Member[] {
		return this.aliveHosts.map(each => each.member).filter(each => each.incarnation.started < epoch + this.now - listLagMs);
	}

	/** Sends the platform's list, which is one interval old, to the hosts on side 0 of a partition, where the platform is. */
	#sendHostList(): void {
		const members = this.#latestList;
		this.#latestList = this.aliveHosts.map(each => each.member);
		for (const host of this.aliveHosts) {
			if ((this.partitionSides.get(host.name) ?? 0) === 0) {
				this.dispatch(host, {type: 'hosts-listed', members, leaving: []});
			}
		}
	}

	#executeEffects(host: Host, effects: readonly Effect[]): void {
		for (const effect of effects) {
			this.#executeEffect(host, effect);
		}
	}

	#executeEffect(host: Host, effect: Effect): void {
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
				this.#recordAnswer(host, effect.request, effect);
				break;
			}

			case 'replay': {
				this.#replayAnswer(host, effect.request, effect.original);
				break;
			}

			case 'forward': {
				forwardRequest(this, host, effect);
				break;
			}

			case 'issue-ticket': {
				host.ticketHandlers.get(effect.request)?.(effect.ticket);
				break;
			}

			case 'peer-send': {
				this.links.send(host, effect.to, effect.message);
				break;
			}

			case 'connect': {
				host.connectTargets.set(effect.host, effect.address.port);
				break;
			}

			case 'disconnect': {
				host.connectTargets.delete(effect.host);
				this.links.cut([host.name, effect.host].toSorted().join(' '));
				break;
			}

			case 'release': {
				releaseHold(this, host, effect);
				break;
			}

			case 'stopped': {
				this.terminate(host);
				break;
			}

			default: {
				break;
			}
		}
	}

	#recordAnswer(host: Host, request: string, effect: Extract<Effect, {readonly type: 'answer'}>): void {
		const exchange = host.exchanges.get(request);
		if (exchange === undefined || exchange.answer !== undefined) {
			return;
		}

		const ownAnswer = {effect, payload: exchange.payload, decidedAt: this.now};
		exchange.answer = effect.outcome.type === 'done' ? exchange.forwardedAnswer ?? ownAnswer : ownAnswer;
		exchange.hostRequest.answeredAt = this.now;
		for (const handleAnswer of exchange.answerHandlers.splice(0)) {
			handleAnswer(exchange.answer);
		}
	}

	#replayAnswer(host: Host, request: string, original: string): void {
		const exchange = host.exchanges.get(request)!;
		const source = host.exchanges.get(original)!;
		const replay = (answer: Answer): void => {
			exchange.payload = answer.payload;
			this.#recordAnswer(host, request, {...answer.effect, request});
		};

		if (source.answer === undefined) {
			source.answerHandlers.push(replay);
		} else {
			replay(source.answer);
		}
	}
}
