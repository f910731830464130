/** Simulates several hosts on one clock, with links that delay messages at random but keep their order. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {
	configurationSchema,
	initialState,
	step,
	type Configuration,
	type Effect,
	type Event,
	type Member,
	type PeerMessage,
	type State,
} from '../index.js';
import {hashText} from '../utils/hashes.js';

type Node = {
	readonly member: Member;
	state: State;
	readonly dialTargets: Map<string, number>;
	isPaused: boolean;
};

type Delivery = {
	readonly at: number;
	readonly host: string;
	readonly run: () => void;
};

const tickIntervalMs = 50;

/** Wall-clock time at the start of a simulation. */
export const startWallTimeMs = 1_000_000;

export function createDocument(revision: number, changes: Partial<Configuration> = {}): Configuration {
	return {
		schema: 1,
		revision,
		failureDomains: [{id: 'a', region: 'r'}, {id: 'b', region: 'r'}, {id: 'c', region: 'r'}],
		services: [],
		organisations: [],
		upstreams: [],
		tokenKeys: [{id: 'k', secret: '0'.repeat(64)}],
		plannedStops: [],
		stopRule: {concurrentHosts: 1, concurrentUpstreams: 1},
		takeovers: [],
		...changes,
	};
}

function digestOf(text: string): string {
	return hashText(text).toString(16).padStart(64, '0').slice(-8).padEnd(64, '0');
}

export class SimulatedNetwork {
	now = 0;
	readonly nodes = new Map<string, Node>();
	readonly effects: Array<{readonly at: number; readonly host: string; readonly effect: Effect}> = [];
	readonly sent: Array<{readonly at: number; readonly from: string; readonly message: PeerMessage}> = [];
	/** Handles effects other than those of links, documents and stops. */
	handleEffect: (host: string, effect: Effect) => void;
	readonly #links = new Map<string, number>();
	readonly #queue: Delivery[] = [];
	readonly #maxRevisions = new Map<string, number>();
	readonly #lastDeliveryTimes = new Map<string, number>();
	readonly #random: (least: number, most: number) => number;
	#nextLinkId = 0;
	#nextPort = 1;
	#isPartitioned: (a: Member, b: Member) => boolean;

	constructor(seed = 1) {
		const generator = xoroshiro128plus(seed);
		this.#random = (least, most) => uniformInt(generator, least, most);
		this.#isPartitioned = () => false;
		this.handleEffect = () => undefined;
	}

	addHost(host: string, failureDomain: string, started = startWallTimeMs + this.now): Member {
		const port = this.#nextPort++;
		const member = {
			incarnation: {host, started}, failureDomain, peerAddress: {host: '127.0.0.1', port}, callerAddress: {host: '127.0.0.1', port: 10_000 + port},
		};
		this.removeHost(host);
		this.nodes.set(host, {
			member, state: initialState(member), dialTargets: new Map(), isPaused: false,
		});
		return member;
	}

	/** Ends a host's process and breaks its links. */
	removeHost(host: string) {
		this.nodes.delete(host);
		for (const key of this.#links.keys()) {
			if (key.split(' ').includes(host)) {
				this.#unlink(key);
			}
		}
	}

	partition(isPartitioned: (a: Member, b: Member) => boolean) {
		this.#isPartitioned = isPartitioned;
	}

	state(host: string): State {
		return this.nodes.get(host)!.state;
	}

	sendHostList(...hosts: readonly string[]) {
		const members = [...this.nodes.values()].map(node => node.member);
		for (const host of hosts) {
			this.dispatch(host, {type: 'hosts-listed', members, leaving: []});
		}
	}

	publishConfiguration(document: Configuration, ...hosts: readonly string[]) {
		for (const host of hosts) {
			this.dispatch(host, {
				type: 'configuration-received', source: {type: 'platform'}, configuration: document, digest: digestOf(JSON.stringify(document)), text: JSON.stringify(document),
			});
		}
	}

	dispatch(host: string, event: Event) {
		const node = this.nodes.get(host);
		if (node === undefined) {
			return;
		}

		const {state, effects} = step(node.state, event, {now: this.now, wall: startWallTimeMs + this.now, random: {integer: this.#random}});
		node.state = state;
		for (const effect of effects) {
			this.effects.push({at: this.now, host, effect});
			this.#execute(node, effect);
		}
	}

	/** Withholds documents above a revision from a host; `undefined` lifts the limit. */
	limitRevision(host: string, revision: number | undefined) {
		if (revision === undefined) {
			this.#maxRevisions.delete(host);
		} else {
			this.#maxRevisions.set(host, revision);
		}
	}

	pause(host: string) {
		this.nodes.get(host)!.isPaused = true;
	}

	resume(host: string, pause: number) {
		this.nodes.get(host)!.isPaused = false;
		this.dispatch(host, {type: 'woken', pause});
	}

	/** Runs for a time or until a condition is met, and returns whether it is met. */
	run(milliseconds: number, isDone: () => boolean = () => false): boolean {
		const end = this.now + milliseconds;
		while (this.now < end) {
			if (isDone()) {
				return true;
			}

			this.now += tickIntervalMs;
			this.#deliverDue();
			this.#breakLinks();
			this.#connectHosts();
			for (const [host, node] of this.nodes) {
				if (!node.isPaused) {
					this.dispatch(host, {type: 'tick'});
				}
			}
		}

		return isDone();
	}

	/** Dispatches an event to a host within the next few ticks, or after its pause if the host is paused. */
	dispatchLater(host: string, event: Event) {
		this.#schedule(host, event);
	}

	#execute(node: Node, effect: Effect) {
		const {host} = node.member.incarnation;
		switch (effect.type) {
			case 'connect': {
				node.dialTargets.set(effect.host, effect.address.port);
				break;
			}

			case 'disconnect': {
				node.dialTargets.delete(effect.host);
				this.#unlink(this.#linkKey(host, effect.host));
				break;
			}

			case 'peer-send': {
				this.sent.push({at: this.now, from: host, message: effect.message});
				this.#send(host, effect.to, effect.message);
				break;
			}

			case 'parse-configuration': {
				const configuration = configurationSchema.parse(JSON.parse(effect.text));
				if (configuration.revision > (this.#maxRevisions.get(host) ?? Number.POSITIVE_INFINITY)) {
					break;
				}

				this.#schedule(host, {
					type: 'configuration-received', source: effect.source, configuration, digest: digestOf(effect.text), text: effect.text,
				});
				break;
			}

			case 'stopped': {
				this.removeHost(host);
				break;
			}

			default: {
				this.handleEffect(host, effect);
				break;
			}
		}
	}

	#linkKey(a: string, b: string) {
		return [a, b].toSorted().join(' ');
	}

	#send(from: string, to: string, message: PeerMessage) {
		const link = this.#links.get(this.#linkKey(from, to));
		if (link !== undefined) {
			this.#schedule(to, {type: 'peer-message', from, message}, () => this.#links.get(this.#linkKey(from, to)) === link);
		}
	}

	/** Schedules an event. Messages between two hosts keep their order, and so do other events of a host; the two kinds may overtake each other. */
	#schedule(host: string, event: Event, isStillValid: () => boolean = () => true) {
		const stream = event.type === 'peer-message' ? `${event.from} ${host}` : host;
		const at = Math.max(this.#lastDeliveryTimes.get(stream) ?? 0, this.now + this.#random(0, 2 * tickIntervalMs));
		this.#lastDeliveryTimes.set(stream, at);
		this.#queue.push({
			at, host, run: () => {
				if (isStillValid()) {
					this.dispatch(host, event);
				}
			},
		});
	}

	#deliverDue() {
		const isDue = (each: Delivery) => each.at <= this.now && this.nodes.get(each.host)?.isPaused !== true;
		for (let due = this.#queue.filter(each => isDue(each)); due.length > 0; due = this.#queue.filter(each => isDue(each))) {
			this.#queue.splice(0, this.#queue.length, ...this.#queue.filter(each => !due.includes(each)));
			for (const each of due.toSorted((x, y) => x.at - y.at)) {
				each.run();
			}
		}
	}

	#unlink(key: string) {
		if (this.#links.delete(key)) {
			const [a, b] = key.split(' ');
			this.dispatch(a!, {type: 'peer-lost', host: b!});
			this.dispatch(b!, {type: 'peer-lost', host: a!});
		}
	}

	#breakLinks() {
		for (const key of this.#links.keys()) {
			const [a, b] = key.split(' ').map(host => this.nodes.get(host)!);
			if (this.#isPartitioned(a!.member, b!.member)) {
				this.#unlink(key);
			}
		}
	}

	#connectHosts() {
		for (const node of this.nodes.values()) {
			for (const [expectedHost, port] of node.dialTargets) {
				const other = [...this.nodes.values()].find(each => each.member.peerAddress.port === port);
				if (other !== undefined && !this.#isPartitioned(node.member, other.member) && !node.isPaused && !other.isPaused) {
					this.#link(node, other, expectedHost);
				}
			}
		}
	}

	#link(node: Node, other: Node, expectedHost: string) {
		const [a, b] = [node.member.incarnation.host, other.member.incarnation.host];
		const key = this.#linkKey(a, b);
		if (this.#links.has(key) || a === b) {
			return;
		}

		if (expectedHost === b) {
			this.#links.set(key, this.#nextLinkId++);
			this.dispatch(a, {type: 'peer-connected', host: b});
			this.dispatch(b, {type: 'peer-connected', host: a});
			this.dispatch(b, {type: 'peer-message', from: a, message: this.#createHello(node)});
		}

		this.dispatch(a, {type: 'peer-message', from: b, message: this.#createHello(other)});
	}

	#createHello(node: Node): PeerMessage {
		const {phase} = node.state.membership;
		return {
			type: 'hello', member: node.member, phase, revision: node.state.configuration.inForce?.revision ?? 0,
		};
	}
}
