/** Links between the hosts of a simulation. */
import {type PeerMessage} from '../../src/core/index.js';
import {type Host} from './hosts.js';
import {type Simulation} from './simulation.js';

type Link = {
	/** Arrival of the last message by receiver, so that messages keep their order. */
	readonly lastArrivals: Map<string, number>;
};

export class Links {
	readonly #simulation: Simulation;
	readonly #links = new Map<string, Link>();

	constructor(simulation: Simulation) {
		this.#simulation = simulation;
	}

	/** @returns Names of all links; each consists of the names of its two hosts. */
	getNames(): readonly string[] {
		return [...this.#links.keys()];
	}

	cut(name: string): void {
		if (this.#links.delete(name)) {
			const [a, b] = name.split(' ');
			this.#simulation.dispatch(this.#simulation.hosts.get(a!)!, {type: 'peer-lost', host: b!});
			this.#simulation.dispatch(this.#simulation.hosts.get(b!)!, {type: 'peer-lost', host: a!});
		}
	}

	/** Breaks the links across a partition and creates those that hosts want. */
	refresh(): void {
		for (const name of this.#links.keys()) {
			const [a, b] = name.split(' ');
			if (this.#simulation.isPartitioned(a!, b!)) {
				this.cut(name);
			}
		}

		for (const host of this.#simulation.aliveHosts) {
			for (const [name, port] of host.connectTargets) {
				const other = this.#simulation.aliveHosts.find(each => each.member.peerAddress.port === port);
				if (other?.name === name && !host.isPaused && !other.isPaused) {
					this.#connect(host, other);
				}
			}
		}
	}

	/** Delivers a message late, in order and sometimes twice; drops it if there is no link. */
	send(from: Host, to: string, message: PeerMessage): void {
		const key = [from.name, to].toSorted().join(' ');
		const link = this.#links.get(key);
		if (link === undefined) {
			return;
		}

		const at = Math.max(link.lastArrivals.get(to) ?? 0, this.#simulation.now + this.#simulation.random.integer(1, 10));
		link.lastArrivals.set(to, at);
		const copies = this.#simulation.options.hasFaults && this.#simulation.random.chance(2) ? 2 : 1;
		for (let copy = 1; copy <= copies; copy++) {
			this.#simulation.scheduler.after((at - this.#simulation.now) * copy, () => {
				if (this.#links.get(key) === link) {
					this.#simulation.dispatch(this.#simulation.hosts.get(to)!, {type: 'peer-message', from: from.name, message});
				}
			});
		}
	}

	#connect(a: Host, b: Host): void {
		const key = [a.name, b.name].toSorted().join(' ');
		if (this.#links.has(key) || a === b || this.#simulation.isPartitioned(a.name, b.name)) {
			return;
		}

		this.#links.set(key, {lastArrivals: new Map()});
		for (const [host, other] of [[a, b], [b, a]] as const) {
			this.#simulation.dispatch(host, {type: 'peer-connected', host: other.name});
			this.#simulation.dispatch(host, {
				type: 'peer-message', from: other.name, message: {
					type: 'hello', member: other.member, phase: other.state.membership.phase, revision: other.state.configuration.inForce?.revision ?? 0,
				},
			});
		}
	}
}
