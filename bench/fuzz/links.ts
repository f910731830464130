/** Links between the hosts of a fuzz world. */
import {type PeerMessage} from '../../src/core/index.js';
import {type Host} from './hosts.js';
import {type World} from './world.js';

type Link = {
	/** Time of the last message each way, so that they keep their order. */
	readonly last: Map<string, number>;
};

export class Links {
	readonly #world: World;
	readonly #links = new Map<string, Link>();

	constructor(world: World) {
		this.#world = world;
	}

	/** @returns Names of all links, each the names of its two hosts. */
	names(): readonly string[] {
		return [...this.#links.keys()];
	}

	cut(key: string): void {
		if (this.#links.delete(key)) {
			const [a, b] = key.split(' ');
			this.#world.dispatch(this.#world.hosts.get(a!)!, {type: 'peer-lost', host: b!});
			this.#world.dispatch(this.#world.hosts.get(b!)!, {type: 'peer-lost', host: a!});
		}
	}

	/** Breaks the links across a partition and makes those that hosts want. */
	connect(): void {
		for (const key of this.#links.keys()) {
			const [a, b] = key.split(' ');
			if (this.#world.isCut(a!, b!)) {
				this.cut(key);
			}
		}

		for (const host of this.#world.living) {
			for (const [name, port] of host.wanted) {
				const other = this.#world.living.find(each => each.member.peerAddress.port === port);
				if (other?.name === name && !host.isPaused && !other.isPaused) {
					this.#link(host, other);
				}
			}
		}
	}

	/** Carries a message, late, in order, and sometimes twice; nothing if there is no link. */
	carry(from: Host, to: string, message: PeerMessage): void {
		const key = [from.name, to].toSorted().join(' ');
		const link = this.#links.get(key);
		if (link === undefined) {
			return;
		}

		const at = Math.max(link.last.get(to) ?? 0, this.#world.now + this.#world.dice.integer(1, 10));
		link.last.set(to, at);
		const copies = this.#world.plan.faults && this.#world.dice.chance(2) ? 2 : 1;
		for (let copy = 1; copy <= copies; copy++) {
			this.#world.agenda.after((at - this.#world.now) * copy, () => {
				if (this.#links.get(key) === link) {
					this.#world.dispatch(this.#world.hosts.get(to)!, {type: 'peer-message', from: from.name, message});
				}
			});
		}
	}

	#link(a: Host, b: Host): void {
		const key = [a.name, b.name].toSorted().join(' ');
		if (this.#links.has(key) || a === b || this.#world.isCut(a.name, b.name)) {
			return;
		}

		this.#links.set(key, {last: new Map()});
		for (const [host, other] of [[a, b], [b, a]] as const) {
			this.#world.dispatch(host, {type: 'peer-connected', host: other.name});
			this.#world.dispatch(host, {
				type: 'peer-message', from: other.name, message: {
					type: 'hello', member: other.member, phase: other.state.membership.phase, revision: other.state.configuration.inForce?.revision ?? 0,
				},
			});
		}
	}
}
