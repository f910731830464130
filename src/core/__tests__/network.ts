/** Several cores on one clock, with links whose delays are random and whose messages keep their order. */
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
	readonly wanted: Map<string, number>;
	isPaused: boolean;
};

type Delivery = {
	readonly at: number;
	readonly host: string;
	readonly run: () => void;
};

const tickInterval = 50;

/** Wall-clock time at the start. */
export const epoch = 1_000_000;

export function documentOf(revision: number, changes: Partial<Configuration> = {}): Configuration {
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

export class Network {
	now = 0;
	readonly nodes = new Map<string, Node>();
	readonly effects: Array<{readonly at: number; readonly host: string; readonly effect: Effect}> = [];
	readonly sent: Array<{readonly at: number; readonly from: string; readonly message: PeerMessage}> = [];
	/** Carries out what a core asks of the world outside. */
	outside: (host: string, effect: Effect) => void;
	readonly #links = new Map<string, number>();
	readonly #queue: Delivery[] = [];
	readonly #held = new Map<string, number>();
	readonly #last = new Map<string, number>();
	readonly #random: (least: number, most: number) => number;
	#order = 0;
	#port = 1;
	#cut: (a: Member, b: Member) => boolean;

	constructor(seed = 1) {
		const generator = xoroshiro128plus(seed);
		this.#random = (least, most) => uniformInt(generator, least, most);
		this.#cut = () => false;
		this.outside = () => undefined;
	}

	add(host: string, failureDomain: string, started = epoch + this.now): Member {
		const port = this.#port++;
		const member = {
			incarnation: {host, started}, failureDomain, peerAddress: {host: '127.0.0.1', port}, callerAddress: {host: '127.0.0.1', port: 10_000 + port},
		};
		this.remove(host);
		this.nodes.set(host, {
			member, state: initialState(member), wanted: new Map(), isPaused: false,
		});
		return member;
	}

	/** The process ends; its links break. */
	remove(host: string) {
		this.nodes.delete(host);
		for (const key of this.#links.keys()) {
			if (key.split(' ').includes(host)) {
				this.#unlink(key);
			}
		}
	}

	cut(isCut: (a: Member, b: Member) => boolean) {
		this.#cut = isCut;
	}

	state(host: string): State {
		return this.nodes.get(host)!.state;
	}

	list(...hosts: readonly string[]) {
		const members = [...this.nodes.values()].map(node => node.member);
		for (const host of hosts) {
			this.dispatch(host, {type: 'hosts-listed', members, leaving: []});
		}
	}

	publish(document: Configuration, ...hosts: readonly string[]) {
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

		const {state, effects} = step(node.state, event, {now: this.now, wall: epoch + this.now, random: {integer: this.#random}});
		node.state = state;
		for (const effect of effects) {
			this.effects.push({at: this.now, host, effect});
			this.#execute(node, effect);
		}
	}

	/** Keeps documents above a revision from a host. */
	holdRevision(host: string, revision: number | undefined) {
		if (revision === undefined) {
			this.#held.delete(host);
		} else {
			this.#held.set(host, revision);
		}
	}

	pause(host: string) {
		this.nodes.get(host)!.isPaused = true;
	}

	wake(host: string, pause: number) {
		this.nodes.get(host)!.isPaused = false;
		this.dispatch(host, {type: 'woken', pause});
	}

	/** Runs for a time, or until something holds. */
	run(milliseconds: number, holds: () => boolean = () => false): boolean {
		const end = this.now + milliseconds;
		while (this.now < end) {
			if (holds()) {
				return true;
			}

			this.now += tickInterval;
			this.#deliver();
			this.#break();
			this.#connect();
			for (const [host, node] of this.nodes) {
				if (!node.isPaused) {
					this.dispatch(host, {type: 'tick'});
				}
			}
		}

		return holds();
	}

	/** Something happens to a host within the next few ticks; a paused host hears of it when it wakes. */
	later(host: string, event: Event) {
		this.#later(host, event);
	}

	#execute(node: Node, effect: Effect) {
		const {host} = node.member.incarnation;
		switch (effect.type) {
			case 'connect': {
				node.wanted.set(effect.host, effect.address.port);
				break;
			}

			case 'disconnect': {
				node.wanted.delete(effect.host);
				this.#unlink(this.#key(host, effect.host));
				break;
			}

			case 'peer-send': {
				this.sent.push({at: this.now, from: host, message: effect.message});
				this.#send(host, effect.to, effect.message);
				break;
			}

			case 'parse-configuration': {
				const configuration = configurationSchema.parse(JSON.parse(effect.text));
				if (configuration.revision > (this.#held.get(host) ?? Number.POSITIVE_INFINITY)) {
					break;
				}

				this.#later(host, {
					type: 'configuration-received', source: effect.source, configuration, digest: digestOf(effect.text), text: effect.text,
				});
				break;
			}

			case 'stopped': {
				this.remove(host);
				break;
			}

			default: {
				this.outside(host, effect);
				break;
			}
		}
	}

	#key(a: string, b: string) {
		return [a, b].toSorted().join(' ');
	}

	#send(from: string, to: string, message: PeerMessage) {
		const link = this.#links.get(this.#key(from, to));
		if (link !== undefined) {
			this.#later(to, {type: 'peer-message', from, message}, () => this.#links.get(this.#key(from, to)) === link);
		}
	}

	/** What one host sends another keeps its order; everything else may overtake. */
	#later(host: string, event: Event, isStill: () => boolean = () => true) {
		const stream = event.type === 'peer-message' ? `${event.from} ${host}` : host;
		const at = Math.max(this.#last.get(stream) ?? 0, this.now + this.#random(0, 2 * tickInterval));
		this.#last.set(stream, at);
		this.#queue.push({
			at, host, run: () => {
				if (isStill()) {
					this.dispatch(host, event);
				}
			},
		});
	}

	#deliver() {
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

	#break() {
		for (const key of this.#links.keys()) {
			const [a, b] = key.split(' ').map(host => this.nodes.get(host)!);
			if (this.#cut(a!.member, b!.member)) {
				this.#unlink(key);
			}
		}
	}

	#connect() {
		for (const node of this.nodes.values()) {
			for (const [meant, port] of node.wanted) {
				const other = [...this.nodes.values()].find(each => each.member.peerAddress.port === port);
				if (other !== undefined && !this.#cut(node.member, other.member) && !node.isPaused && !other.isPaused) {
					this.#link(node, other, meant);
				}
			}
		}
	}

	#link(node: Node, other: Node, meant: string) {
		const [a, b] = [node.member.incarnation.host, other.member.incarnation.host];
		const key = this.#key(a, b);
		if (this.#links.has(key) || a === b) {
			return;
		}

		if (meant === b) {
			this.#links.set(key, this.#order++);
			this.dispatch(a, {type: 'peer-connected', host: b});
			this.dispatch(b, {type: 'peer-connected', host: a});
			this.dispatch(b, {type: 'peer-message', from: a, message: this.#hello(node)});
		}

		this.dispatch(a, {type: 'peer-message', from: b, message: this.#hello(other)});
	}

	#hello(node: Node): PeerMessage {
		const {phase} = node.state.membership;
		return {
			type: 'hello', member: node.member, phase, revision: node.state.configuration.inForce?.revision ?? 0,
		};
	}
}
