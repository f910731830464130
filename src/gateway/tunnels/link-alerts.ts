/**
 * Lets hosts learn from each other that links to upstreams are lost: a host with few requests would lose several of them before it knew. An
 * alert makes hosts check their own links; nobody takes its word.
 */
import {z} from 'zod';
import {type Log} from '../../entry/logs.js';
import {audienceSchema, shortText} from '../peers/fields.js';
import {type Host} from '../peers/messages.js';
import {type Peers} from '../peers/peers.js';
import {maxLostGroups} from './messages.js';

/** Time in milliseconds in which this host raises, forwards and acts on one alert of a group of upstreams. */
const alertIntervalMs = 1000;

const alertSchema = z.object({groups: z.array(shortText).max(maxLostGroups), audience: audienceSchema});

export type LinkAlertsOptions = {
	readonly self: string;
	readonly peers: Pick<Peers, 'broadcast' | 'isLargeFleet' | 'relays' | 'sendToDomain' | 'sendToOtherDomains'>;
	readonly log: Pick<Log, 'write'>;
	readonly now: () => number;
	/** Called with groups of upstreams to which the links of this host should be checked. */
	readonly onAlert: (groups: readonly string[]) => void;
};

export class LinkAlerts {
	readonly #options: LinkAlertsOptions;
	/** Times of the last alerts that were raised, forwarded and acted on, by group. */
	readonly #raisedAt = new Map<string, number>();
	readonly #forwardedAt = new Map<string, number>();
	readonly #actedAt = new Map<string, number>();

	/**
	 * @param options - Links of this host to others.
	 */
	constructor(options: LinkAlertsOptions) {
		this.#options = options;
	}

	/**
	 * Alerts the other hosts.
	 *
	 * @param groups - Groups of upstreams to which this host has lost its links.
	 */
	raise(groups: readonly string[]): void {
		const due = this.#takeDue(this.#raisedAt, groups.slice(0, maxLostGroups));
		if (due.length > 0) {
			this.#options.log.write({event: 'links-lost', groups: due}, 'warn');
			// Relays send the alert back.
			this.#takeDue(this.#actedAt, due);
			this.#send(due, 'fleet');
		}
	}

	/**
	 * @param from - Sender.
	 * @param alert - What it sent; an invalid one is ignored.
	 */
	handle(from: Host, alert: unknown): void {
		const parsed = alertSchema.safeParse(alert);
		if (!parsed.success) {
			this.#options.log.write({event: 'link-alert-ignored', peer: from.name, problem: parsed.error.issues[0]?.message}, 'warn');
			return;
		}

		const {groups, audience} = parsed.data;
		const due = this.#takeDue(this.#actedAt, groups);
		if (due.length > 0) {
			this.#options.onAlert(due);
		}

		const {peers, self} = this.#options;
		if (audience !== undefined && peers.isLargeFleet && peers.relays.includes(self)) {
			this.#send(this.#takeDue(this.#forwardedAt, groups), audience);
		}
	}

	/** Sends an alert to linked hosts. Relays forward it to the hosts of their failure domains. */
	#send(groups: readonly string[], audience: 'domain' | 'fleet'): void {
		const {peers, self} = this.#options;
		if (groups.length === 0) {
			return;
		}

		const create = (further?: 'domain' | 'fleet') => ({type: 'heartbeat' as const, linksLost: {groups: [...groups], audience: further}});
		if (!peers.isLargeFleet) {
			peers.broadcast(create());
		} else if (peers.relays.includes(self)) {
			peers.sendToDomain(create());
			if (audience === 'fleet') {
				peers.sendToOtherDomains(create('domain'));
			}
		} else {
			peers.sendToDomain(create('fleet'));
		}
	}

	#takeDue(times: Map<string, number>, groups: readonly string[]): readonly string[] {
		const now = this.#options.now();
		const due = groups.filter(group => now - (times.get(group) ?? Number.NEGATIVE_INFINITY) >= alertIntervalMs);
		for (const group of due) {
			times.set(group, now);
		}

		// Only a peer that names ever new groups lets the table grow.
		if (times.size > maxLostGroups) {
			times.clear();
		}

		return due;
	}
}
