/** Sends messages to linked hosts; each is encoded once, however many hosts get it. */
import {type FleetReach} from './fleet-reach.js';
import {type Link} from './link.js';
import {encode, type Message} from './messages.js';
import {selectRelays} from './topology.js';

export class Sender {
	readonly #failureDomain: string;
	/** Bytes sent since the start, by kind of message. */
	readonly #bytes = new Map<Message['type'], number>();
	readonly #links: ReadonlyMap<string, Link>;
	readonly #reach: FleetReach;

	/**
	 * @param failureDomain - Failure domain of this host.
	 * @param links - Links by the name of the peer.
	 * @param reach - Linked hosts.
	 */
	constructor(failureDomain: string, links: ReadonlyMap<string, Link>, reach: FleetReach) {
		this.#failureDomain = failureDomain;
		this.#links = links;
		this.#reach = reach;
	}

	/** Bytes sent since the start, by kind of message; messages of the authentication and of the end of a link are left out. */
	get bytes(): ReadonlyMap<Message['type'], number> {
		return this.#bytes;
	}

	/**
	 * @param message - Message for all linked hosts.
	 */
	broadcast(message: Message): void {
		this.#writeAll(message, [...this.#links.values()]);
	}

	/**
	 * @param message - Message for the first relay of each other failure domain.
	 */
	sendToOtherDomains(message: Message): void {
		this.#writeAll(message, this.#linksToOtherDomains());
	}

	/**
	 * @param message - Message for the other hosts of this failure domain.
	 * @param delay - Milliseconds that the message may wait to be sent together with others.
	 */
	sendToDomain(message: Message, delay: number): void {
		this.#writeAll(message, [...this.#links.values()].filter(link => link.hello?.from.failureDomain === this.#failureDomain), delay);
	}

	/**
	 * @param hosts - Names of linked hosts.
	 * @param message - Message.
	 * @param delay - Milliseconds that the message may wait to be sent together with others.
	 */
	sendToHosts(hosts: readonly string[], message: Message, delay: number): void {
		this.#writeAll(message, this.#findLinks(hosts), delay);
	}

	/**
	 * @param message - Message.
	 * @param isReceiver - Decides which linked hosts get it.
	 */
	sendToLinks(message: Message, isReceiver: (link: Link) => boolean): void {
		this.#writeAll(message, [...this.#links.values()].filter(link => isReceiver(link)));
	}

	/**
	 * @param host - Name of a host; nothing is sent if it isn't linked.
	 * @param message - Message.
	 */
	send(host: string, message: Message): void {
		this.#writeAll(message, this.#findLinks([host]));
	}

	/**
	 * @param host - Name of a host; nothing is sent if it isn't linked.
	 * @param frame - Message, encoded once for several hosts.
	 * @param type - Its kind.
	 */
	sendFrame(host: string, frame: Uint8Array, type: Message['type']): void {
		for (const link of this.#findLinks([host])) {
			this.#count(type, frame.length);
			link.write(frame);
		}
	}

	/**
	 * @param link - New link, whose peer may not be identified yet.
	 * @param message - Message.
	 */
	sendOver(link: Link, message: Message): void {
		this.#writeAll(message, [link]);
	}

	/**
	 * Sends the messages that wait for a host.
	 *
	 * @param host - Name of the host.
	 */
	flush(host: string): void {
		this.#links.get(host)?.flush();
	}

	#findLinks(hosts: readonly string[]): readonly Link[] {
		return hosts.flatMap(host => this.#links.get(host) ?? []);
	}

	#count(type: Message['type'], bytes: number): void {
		this.#bytes.set(type, (this.#bytes.get(type) ?? 0) + bytes);
	}

	/** Links to the first relay of each other failure domain. */
	#linksToOtherDomains(): readonly Link[] {
		const {hosts} = this.#reach;
		const domains = new Set(hosts.map(host => host.failureDomain));
		domains.delete(this.#failureDomain);
		return [...domains].flatMap(domain => {
			const [first] = selectRelays(domain, hosts);
			return first === undefined ? [] : this.#links.get(first.name) ?? [];
		});
	}

	#writeAll(message: Message, links: readonly Link[], delay = 0): void {
		if (links.length === 0) {
			return;
		}

		const bytes = encode(message);
		this.#count(message.type, bytes.length * links.length);
		for (const link of links) {
			if (delay > 0) {
				link.writeBatched(bytes, delay);
			} else {
				link.write(bytes);
			}
		}
	}
}
