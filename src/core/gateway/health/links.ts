/**
 * Decides whether this host reaches an upstream over its own link. Only what another host gets from an upstream and this one doesn't shows
 * that the link is cut: an upstream that is gone fails everywhere, and one that is merely silent still accepts connections.
 */
import {assertNever} from '../../utils/common.js';

/** How a connection over the own link failed. */
export type LinkFailure
	/** It was refused: connections that are already open may live on. */
	= | 'refused'
	/** Nothing came back: connections that are already open hang as well. */
		| 'silent';

/** What is wrong with a link that is cut. */
export type LinkFault = LinkFailure
	/** Connections are established, but no answer comes back over them: something in between accepts them. */
	| 'mute';

/** How to connect to an upstream. */
export type LinkRoute
	= | {readonly type: 'direct'}
	/** Over another host. */
		| {
			readonly type: 'tunnel';
			readonly fault: LinkFault;
			/** Whether another host has connected to upstreams that this one doesn't reach. */
			readonly isShown: boolean;
		};

/** Upstreams of one group without a link after which the links to its others are presumed to be cut. */
const groupThreshold = 2;

/** Upstreams without a link, of two failure domains or more, after which all links to their service, or all links, are presumed to be cut. */
const wideThreshold = 3;

/** Milliseconds between two checks of cut links, and after one that found a link restored. */
const checkIntervalMs = 400;
const restoredCheckIntervalMs = 50;

/** Time in milliseconds for which a restored link speeds up the checks of the others, and links that are then checked at once. */
const restorationMs = 1500;
const restoredChecks = 8;

/** Time in milliseconds for which a link counts as lost after no host connected to its upstream, unless others are lost meanwhile. */
const lossMemoryMs = 2000;

const direct: LinkRoute = {type: 'direct'};

type Cut = {
	readonly upstream: LinkedUpstream;
	readonly fault: LinkFault;
	/** Time in milliseconds. */
	readonly since: number;
};

/** Times in milliseconds of the last signs that links to a group work. */
type Signs = {
	readonly group: Omit<LinkedUpstream, 'id'>;
	/** New connection. */
	connected: number;
	/** Answer over a new connection. */
	answered: number;
	/** Bytes over any connection. */
	received: number;
};

/** An upstream, its service and its failure domain. */
export type LinkedUpstream = {
	readonly id: string;
	readonly service: string;
	readonly failureDomain: string;
};

/**
 * @param upstream - Upstream.
 * @returns Name of the group of all upstreams of its service and failure domain: their links tend to be lost together.
 */
export function findLinkGroup({service, failureDomain}: Omit<LinkedUpstream, 'id'>): string {
	return `${service}@${failureDomain}`;
}

/** To which upstreams the links of a host are sound. */
export type LinkScope
	/** To others of the group in question. */
	= | 'group'
	/** To upstreams of other groups only. */
		| 'elsewhere'
		| 'none';

export class Links {
	/** Upstreams that another host reaches and this one doesn't. */
	readonly #cuts = new Map<string, Cut>();
	/** Upstreams that neither this host nor one that it asked could connect to, although nobody showed that they are gone. */
	readonly #losses = new Map<string, Cut>();
	/** Times of the last signs that own links to a group work. */
	readonly #signs = new Map<string, Signs>();
	/** Faults of groups whose links are all presumed to be cut, as far as computed since the last change. */
	readonly #presumed = new Map<string, LinkFault | undefined>();
	#checkedAt = Number.NEGATIVE_INFINITY;
	#restoredAt = Number.NEGATIVE_INFINITY;
	#checkOffset = 0;

	/** Whether any link is cut. */
	get hasCuts(): boolean {
		return this.#cuts.size > 0 || this.#losses.size > 0;
	}

	/** Number of upstreams that another host reaches and this one doesn't. */
	get cutCount(): number {
		return this.#cuts.size;
	}

	/** Names of the groups whose links are all presumed to be cut. */
	get lostGroups(): readonly string[] {
		if (!this.hasCuts) {
			return [];
		}

		const groups = new Map([...[...this.#cuts.values(), ...this.#losses.values()].map(({upstream}) => upstream), ...[...this.#signs.values()].map(({group}) => group)]
			.map(group => [findLinkGroup(group), group]));
		return [...groups].filter(([, group]) => this.#findPresumedFault(group) !== undefined).map(([name]) => name).toSorted();
	}

	/**
	 * Records a new connection over the own link. Behind something that accepts connections, it restores nothing.
	 *
	 * @param upstream - Upstream.
	 * @param now - Time in milliseconds.
	 * @returns Whether its link was cut until now.
	 */
	recordConnection(upstream: LinkedUpstream, now: number): boolean {
		this.#getSigns(upstream).connected = now;
		this.#presumed.clear();
		return this.#cuts.get(upstream.id)?.fault !== 'mute' && this.#restore(upstream.id, now);
	}

	/**
	 * Records an answer of any kind over a new connection of this host.
	 *
	 * @param upstream - Upstream.
	 * @param now - Time in milliseconds.
	 * @returns Whether its link was cut until now.
	 */
	recordAnswer(upstream: LinkedUpstream, now: number): boolean {
		this.#getSigns(upstream).answered = now;
		this.#presumed.clear();
		return this.#restore(upstream.id, now);
	}

	/**
	 * Records bytes of an upstream over a connection of this host, which may be older than a cut.
	 *
	 * @param upstream - Upstream.
	 * @param now - Time in milliseconds.
	 */
	recordTraffic(upstream: LinkedUpstream, now: number): void {
		this.#getSigns(upstream).received = now;
		this.#presumed.clear();
	}

	/**
	 * Records that another host reaches an upstream and this one doesn't.
	 *
	 * @param upstream - Upstream.
	 * @param fault - What is wrong with the own link.
	 * @param now - Time in milliseconds.
	 * @returns Whether its link wasn't known to be cut.
	 */
	recordCut(upstream: LinkedUpstream, fault: LinkFault, now: number): boolean {
		const {id} = upstream;
		const isNew = !this.#cuts.has(id);
		if (isNew) {
			const since = this.#losses.get(id)?.since ?? now;
			this.#losses.delete(id);
			this.#cuts.set(id, {upstream, fault, since});
			this.#checkedAt = Math.max(this.#checkedAt, now);
			this.#presumed.clear();
		}

		return isNew;
	}

	/**
	 * Records that this host couldn't connect to an upstream, and that no host with sound links said that the upstream is gone.
	 *
	 * @param upstream - Upstream.
	 * @param failure - How the connection over the own link failed.
	 * @param now - Time in milliseconds.
	 */
	recordLoss(upstream: LinkedUpstream, failure: LinkFailure, now: number): void {
		const {id} = upstream;
		for (const [lost, {upstream: group, since}] of this.#losses) {
			if (now - since >= lossMemoryMs && this.#findPresumedFault(group) === undefined) {
				this.#losses.delete(lost);
			}
		}

		if (!this.#cuts.has(id) && !this.#losses.has(id)) {
			this.#losses.set(id, {upstream, fault: failure, since: now});
			this.#checkedAt = Math.max(this.#checkedAt, now);
		}

		this.#presumed.clear();
	}

	/**
	 * @param upstream - Id of an upstream that is gone, or that was removed or restarted.
	 */
	forget(upstream: string): void {
		this.#cuts.delete(upstream);
		this.#losses.delete(upstream);
		this.#presumed.clear();
	}

	/**
	 * @param upstream - Upstream.
	 * @returns How to connect to it.
	 */
	findRoute(upstream: LinkedUpstream): LinkRoute {
		if (!this.hasCuts) {
			return direct;
		}

		const fault = this.#cuts.get(upstream.id)?.fault ?? this.#findPresumedFault(upstream);
		return fault === undefined ? direct : {type: 'tunnel', fault, isShown: this.#cuts.size > 0};
	}

	/**
	 * @param upstream - Upstream that this host doesn't reach.
	 * @param since - Time in milliseconds. What worked before may have been lost together with the link to the upstream.
	 * @returns To which other upstreams the links of this host have worked since then.
	 */
	findSoundScope(upstream: LinkedUpstream, since: number): LinkScope {
		const isSound = ({group, connected, answered, received}: Signs) =>
			Math.max(connected, answered, received) >= since && this.#findPresumedFault(group) === undefined;
		if (isSound(this.#getSigns(upstream))) {
			return 'group';
		}

		return [...this.#signs.values()].some(signs => isSound(signs)) ? 'elsewhere' : 'none';
	}

	/**
	 * Selects links to check now, in turn.
	 *
	 * @param listUpstreams - Returns the upstreams that may be checked; called if a check is due.
	 * @param now - Time in milliseconds.
	 * @returns Upstreams to connect to over the own link.
	 */
	selectChecks<T extends LinkedUpstream>(listUpstreams: () => readonly T[], now: number): readonly T[] {
		const isRestoring = now - this.#restoredAt < restorationMs;
		if (!this.hasCuts || now - this.#checkedAt < (isRestoring ? restoredCheckIntervalMs : checkIntervalMs)) {
			return [];
		}

		this.#checkedAt = now;
		const avoided = listUpstreams().filter(each => this.#losses.has(each.id) || this.findRoute(each).type === 'tunnel');
		const count = Math.min(isRestoring ? restoredChecks : 1, avoided.length);
		const first = this.#checkOffset;
		this.#checkOffset += count;
		return Array.from({length: count}, (_, index) => avoided[(first + index) % avoided.length]!);
	}

	#restore(id: string, now: number): boolean {
		const isRestored = this.#cuts.delete(id);
		if (this.#losses.delete(id) || isRestored) {
			this.#restoredAt = now;
		}

		return isRestored;
	}

	/** Returns the fault of the links to a group if all of them are presumed to be cut. */
	#findPresumedFault(group: Omit<LinkedUpstream, 'id'>): LinkFault | undefined {
		if (!this.hasCuts) {
			return undefined;
		}

		const name = findLinkGroup(group);
		if (!this.#presumed.has(name)) {
			this.#presumed.set(name, this.#presumeFault(group));
		}

		return this.#presumed.get(name);
	}

	#presumeFault(group: Omit<LinkedUpstream, 'id'>): LinkFault | undefined {
		const all = [...this.#cuts.values(), ...this.#losses.values()];
		const ofService = all.filter(({upstream}) => upstream.service === group.service);
		const ofGroup = ofService.filter(({upstream}) => upstream.failureDomain === group.failureDomain);
		const signs = [...this.#signs.values()];
		const signsOfService = signs.filter(each => each.group.service === group.service);
		if (ofGroup.length >= groupThreshold && areWithoutLink(ofGroup, [this.#getSigns(group)])) {
			return ofGroup.at(-1)!.fault;
		}

		if (isWide(ofService) && areWithoutLink(ofService, signsOfService)) {
			return ofService.at(-1)!.fault;
		}

		return isWide(all) && areWithoutLink(all, signs) ? all.at(-1)!.fault : undefined;
	}

	#getSigns({service, failureDomain}: Omit<LinkedUpstream, 'id'>): Signs {
		const name = findLinkGroup({service, failureDomain});
		const known = this.#signs.get(name);
		if (known !== undefined) {
			return known;
		}

		const signs = {
			group: {service, failureDomain}, connected: Number.NEGATIVE_INFINITY, answered: Number.NEGATIVE_INFINITY, received: Number.NEGATIVE_INFINITY,
		};
		this.#signs.set(name, signs);
		return signs;
	}
}

/** Whether enough links are cut, to several failure domains, to presume the same of others. */
function isWide(cuts: readonly Cut[]): boolean {
	return cuts.length >= wideThreshold && new Set(cuts.map(({upstream}) => upstream.failureDomain)).size > 1;
}

/** Whether nothing showed that a link to one of the groups works after the first of the cuts. */
function areWithoutLink(cuts: readonly Cut[], groups: readonly Signs[]): boolean {
	const first = Math.min(...cuts.map(({since}) => since));
	return groups.every(signs => cuts.every(({fault}) => findLastProof(signs, fault) <= first));
}

/** Returns the time of the last sign that links don't have the fault. */
function findLastProof({connected, answered, received}: Signs, fault: LinkFault): number {
	switch (fault) {
		case 'refused': {
			return Math.max(connected, answered);
		}

		case 'silent': {
			return Math.max(connected, answered, received);
		}

		case 'mute': {
			return answered;
		}

		default: {
			return assertNever(fault);
		}
	}
}
