/** Notices that links to upstreams are cut or restored: checks them if all connections are silent, and while some are cut. */
import {type Links} from '../../core/gateway/health/links.js';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {type Connector} from './connector.js';
import {type UpstreamAgent} from './agent.js';

/** Time in milliseconds between two looks at the connections in use, and between two looks for cut links to check. */
const lookIntervalMs = 200;
const checkIntervalMs = 50;

/** Looks without a byte from any upstream after which a link is checked. */
const silentLooks = 2;

/** Time in milliseconds between two such checks. */
const checkGapMs = 2000;

export type LinkWatchOptions = {
	readonly agent: Pick<UpstreamAgent, 'closeUnfit' | 'directConnections' | 'findAddress'>;
	readonly links: Links;
	readonly connector: Pick<Connector, 'check'>;
	readonly now: () => number;
	readonly listUpstreams: () => readonly GatewayUpstream[];
	readonly findUpstream: (address: string) => GatewayUpstream | undefined;
	/** Called for each check of a link. */
	readonly onCheck: () => void;
};

export class LinkWatch implements Disposable {
	readonly #options: LinkWatchOptions;
	readonly #lookTimer: NodeJS.Timeout;
	#checkTimer: NodeJS.Timeout | undefined;
	#receivedBytes = 0;
	#silentLooks = 0;
	#checkedAt = Number.NEGATIVE_INFINITY;

	/**
	 * @param options - Connections and links.
	 */
	constructor(options: LinkWatchOptions) {
		this.#options = options;
		this.#lookTimer = setInterval(() => {
			this.#look();
		}, lookIntervalMs);
	}

	/**
	 * Checks the link to an upstream that has sent nothing for longer than it should.
	 *
	 * @param upstream - Upstream.
	 */
	suspect(upstream: GatewayUpstream): void {
		const {now, onCheck, connector} = this.#options;
		if (now() - this.#checkedAt >= checkGapMs) {
			this.#checkedAt = now();
			onCheck();
			void connector.check(upstream);
		}
	}

	/** Checks cut links until none is left. */
	startChecks(): void {
		this.#checkTimer ??= setInterval(() => {
			this.#checkCutLinks();
		}, checkIntervalMs);
	}

	[Symbol.dispose](): void {
		clearInterval(this.#lookTimer);
		clearInterval(this.#checkTimer);
	}

	#checkCutLinks(): void {
		const {links, connector, listUpstreams, now, onCheck, agent} = this.#options;
		if (!links.hasCuts) {
			clearInterval(this.#checkTimer);
			this.#checkTimer = undefined;
			return;
		}

		for (const upstream of links.selectChecks(listUpstreams(), now())) {
			onCheck();
			void (async () => {
				await connector.check(upstream);
				agent.closeUnfit();
			})();
		}
	}

	/** Suspects an upstream if no connection in use has received a byte for a while. */
	#look(): void {
		const {agent, findUpstream} = this.#options;
		const connections = agent.directConnections;
		const bytes = connections.reduce((sum, socket) => sum + socket.bytesRead, 0);
		// Connections that begin or end change the sum as well.
		const isSilent = connections.length > 0 && bytes === this.#receivedBytes;
		this.#receivedBytes = bytes;
		this.#silentLooks = isSilent ? this.#silentLooks + 1 : 0;
		if (this.#silentLooks >= silentLooks) {
			const upstream = findUpstream(agent.findAddress(connections[0]!) ?? '');
			if (upstream !== undefined) {
				this.suspect(upstream);
			}
		}
	}
}
