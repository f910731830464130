/**
 * Forwards load updates as the relay of a failure domain: to the relays of the other domains with a short delay, and to the hosts of its own
 * domain in batches. A host gets the pending changes earlier, and again with its next batch, when it requests them before a placement or may
 * have to reroute a running request; the batches of the other hosts stay whole: with hundreds of hosts that each serve one or two requests a
 * second, a host needs most updates only when its next request arrives. In a large domain, hosts receive short jobs only for the engines of
 * their group; a batch is encoded once for each group.
 */
import {type Job, type Load} from '../../core/gateway/engines/load.js';
import {canCauseReroute} from '../../core/gateway/placement/rerouting.js';
import {type LoadUpdate} from '../peers/messages.js';
import {GroupSums, type GroupSumsOptions} from './group-sums.js';
import {LoadBatch, type LoadChanges} from './load-batch.js';
import {encodeChanges} from './load-encoding.js';

/** How long a relay collects changes for the other domains; kept short, as outdated load information leads to worse placements. */
const otherDomainsDelayMs = 8;

/**
 * How long a relay collects changes for its own domain, and how long a message then waits to be sent together with others to the same
 * host, unless that host requests them.
 */
const domainDelayMs = 50;
const linkDelayMs = 50;

export type LoadForwarderOptions = GroupSumsOptions & {
	readonly load: Load;
};

export class LoadForwarder {
	readonly #options: LoadForwarderOptions;
	readonly #domainChanges = new LoadBatch(domainDelayMs, changes => {
		this.#sendToDomain(changes);
	});

	readonly #otherDomainsChanges = new LoadBatch(otherDomainsDelayMs, changes => {
		this.#options.peers.sendToOtherDomains(this.#encode(changes, 'domain'));
	});

	readonly #sums: GroupSums;

	constructor(options: LoadForwarderOptions) {
		this.#options = options;
		this.#sums = new GroupSums(options);
	}

	/**
	 * @param changes - Changes of this host's jobs, or of others' jobs that it received.
	 * @param audience - Where they are to be forwarded; nowhere if it is absent.
	 */
	forward(changes: LoadChanges, audience: LoadUpdate['audience']): void {
		if (audience === undefined) {
			return;
		}

		this.#domainChanges.add(changes);
		if (audience === 'fleet') {
			this.#otherDomainsChanges.add({
				...changes, absences: changes.absences.filter(each => each.isForAll), returns: changes.returns.filter(each => each.isForAll),
			});
		}

		this.#flushAffectedHosts(changes.began);
	}

	/**
	 * Sends a host the changes that its domain gets with the next batch, after those that already wait to be sent to it.
	 *
	 * @param host - Name of the host.
	 */
	sendPending(host: string): void {
		const {peers, groups, audience} = this.#options;
		const {pending} = this.#domainChanges;
		const group = groups.findGroup(host);
		const selected = pending === undefined || group === undefined ? pending : audience.select(pending, group);
		if (selected === undefined) {
			peers.flush(host);
		} else {
			peers.send(host, this.#encode(selected));
		}
	}

	/** Sends everything that waits to be sent to this failure domain, before the group of a host changes. */
	flush(): void {
		this.#domainChanges.flush();
		this.#sums.flush();
	}

	/** Encodes the changes once for all hosts that receive the same. */
	#sendToDomain(changes: LoadChanges): void {
		const {peers, groups, audience} = this.#options;
		const {receivers} = groups;
		if (receivers.every(({group}) => group === undefined)) {
			peers.sendToDomain(this.#encode(changes), linkDelayMs);
			return;
		}

		for (const {group, hosts} of receivers) {
			const selected = group === undefined ? changes : audience.select(changes, group);
			if (selected !== undefined) {
				peers.sendToHosts(hosts, this.#encode(selected), linkDelayMs);
			}
		}

		this.#sums.add(changes.fresh);
	}

	/** Sends pending updates at once to the hosts that may have to reroute a request because of new jobs. */
	#flushAffectedHosts(began: readonly Job[]): void {
		const {load, now} = this.#options;
		const affectedHosts = new Set(began.flatMap(job => load.findJobsOfOtherHosts(job).filter(each => canCauseReroute(each, job, now())).map(each => each.host)));
		for (const host of affectedHosts) {
			this.sendPending(host);
		}
	}

	#encode(changes: Partial<LoadChanges>, audience?: LoadUpdate['audience']): LoadUpdate {
		return encodeChanges(changes, this.#options.self, this.#options.now(), audience);
	}
}
