/** Decides which connections may become links: those to hosts of the same fleet. */
import {randomBytes} from 'node:crypto';
import {type Log} from '../../entry/logs.js';
import {type FleetIdentity} from '../../core/gateway/registry/fleet-identity.js';
import {addressKey, type KnownPeers} from './known-peers.js';
import {Authentication} from './authentication.js';
import {describeIdentity, type FleetView} from './fleet-view.js';
import {ForeignHosts, type RefusalReason} from './foreign-hosts.js';
import {type Link} from './link.js';
import {type Hello} from './messages.js';

/** Accepted connections that may be in their handshake at once: a fleet of 340 hosts that starts together dials its seeds at once. */
const maxPendingLinks = 512;

/** How hosts recognise those of their own fleet. */
export type Identification
	/** Every host is accepted. */
	= | {readonly type: 'none'}
	/** By what both know of the platform. */
		| {readonly type: 'knowledge'; readonly view: FleetView}
	/** By shared keys. */
		| {readonly type: 'keys'; readonly keys: readonly string[]};

export type GatekeeperOptions = {
	readonly identification: Identification;
	readonly log: Pick<Log, 'write'>;
	readonly now: () => number;
	readonly knownPeers: KnownPeers;
};

export class Gatekeeper {
	readonly #knownPeers: KnownPeers;
	readonly #foreignHosts: ForeignHosts;
	/** Accepted connections whose peers aren't identified yet. */
	readonly #pendingLinks = new Set<Link>();
	#identification: Identification;

	constructor({identification, log, now, knownPeers}: GatekeeperOptions) {
		this.#identification = identification;
		this.#knownPeers = knownPeers;
		this.#foreignHosts = new ForeignHosts(log, now);
	}

	/** Identity for the handshake; absent if it isn't used. */
	get identity(): FleetIdentity | undefined {
		return this.#identification.type === 'knowledge' ? this.#identification.view.identity : undefined;
	}

	/** Connections refused since the start of this host, by reason. */
	get refusals(): ReadonlyMap<RefusalReason, number> {
		return this.#foreignHosts.counts;
	}

	/**
	 * @param keys - Keys that are valid from now on in new handshakes; ignored if this host was started without keys.
	 */
	updateKeys(keys: readonly string[]): void {
		if (this.#identification.type === 'keys') {
			this.#identification = {type: 'keys', keys};
		}
	}

	/**
	 * @param isDialled - Whether this host opened the connection.
	 * @returns Authentication of a new connection; undefined if none is needed.
	 */
	createAuthentication(isDialled: boolean): Authentication | undefined {
		return this.#identification.type === 'keys' ? new Authentication(this.#identification.keys, isDialled, bytes => randomBytes(bytes)) : undefined;
	}

	/**
	 * @param address - Address from which a connection comes.
	 * @returns Whether it may be opened. A refusal is recorded.
	 */
	mayAccept(address: string): boolean {
		if (this.#pendingLinks.size < maxPendingLinks) {
			return true;
		}

		this.#foreignHosts.record({
			reason: 'too many', address, own: this.#describeSelf(), peer: 'unknown',
		});
		return false;
	}

	/**
	 * @param link - New link.
	 */
	addPending(link: Link): void {
		if (!link.isDialled) {
			this.#pendingLinks.add(link);
		}
	}

	/**
	 * @param link - Link that was closed.
	 */
	forget(link: Link): void {
		this.#pendingLinks.delete(link);
	}

	/**
	 * Accepts or closes a link.
	 *
	 * @param link - Link.
	 * @param hello - Handshake of the peer.
	 * @returns Whether the peer belongs to this fleet.
	 */
	admit(link: Link, {fleet}: Hello): boolean {
		const identification = this.#identification;
		const kinship = identification.type === 'knowledge' ? identification.view.judge(fleet) : 'same';
		if (kinship !== 'same') {
			this.refuse(link, kinship, fleet === undefined ? 'unknown' : describeIdentity(fleet));
			return false;
		}

		if (identification.type === 'knowledge' && fleet !== undefined) {
			identification.view.learn(fleet);
		}

		this.#pendingLinks.delete(link);
		link.accept();
		return true;
	}

	/**
	 * Closes a link. A foreign host is told so and dialled again after an exponential delay.
	 *
	 * @param link - Link.
	 * @param reason - Why it is closed.
	 * @param peer - What is known of the identity of the peer.
	 */
	refuse(link: Link, reason: RefusalReason, peer: string): void {
		const {dialledAddress} = link;
		const address = dialledAddress === undefined ? link.remoteAddress : addressKey(dialledAddress);
		this.#foreignHosts.record({
			reason, address, own: this.#describeSelf(), peer,
		});
		if (reason === 'foreign') {
			if (dialledAddress !== undefined) {
				this.#knownPeers.markForeign(dialledAddress);
			}

			link.refuseForeign();
		} else {
			link.close(reason);
		}
	}

	#describeSelf(): string {
		const {identity} = this;
		return identity === undefined ? this.#identification.type : describeIdentity(identity);
	}
}
