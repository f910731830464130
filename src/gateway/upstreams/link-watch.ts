/** Notices that links to upstreams are cut or restored: checks them if all connections are silent, on alerts, and while some are cut. */
import {setTimeout as sleep} from 'node:timers/promises';
import {findLinkGroup, type Links} from '../../core/gateway/health/links.js';
import {type GatewayUpstream} from '../../core/gateway/types.js';
import {type TunnelPeers} from '../tunnels/tunnel-peers.js';
import {type Connector} from './connector.js';
import {type UpstreamAgent} from './agent.js';

/** Time in milliseconds between two looks at the connections in use, and between two looks for cut links to check. */
const lookIntervalMs = 200;
const checkIntervalMs = 50;

/** Looks without a byte from any upstream after which a link is checked. */
const silentLooks = 2;

/** Time in milliseconds between two such checks, and between two checks of a group for further links that are cut. */
const checkGapMs = 2000;
const groupGapMs = 500;

/** Groups of which an upstream is checked at once: enough to presume that all links are cut. All hosts of a fleet may check together. */
const surveyedGroups = 4;
const surveyIntervalMs = 100;

/** Longest wait in milliseconds before such a check, so that hosts that are alerted together check at various times. */
const maxSurveyDelayMs = 60;

/** Time in milliseconds between two searches for a way to upstreams that no host reached, and between two requests for further offers. */
const scoutIntervalMs = 250;
const prepareIntervalMs = 500;

/** Time in milliseconds without cut links after which the links to hosts that were opened for tunnels only are closed. */
const keepMs = 10_000;

export type LinkWatchOptions = {
	readonly agent: Pick<UpstreamAgent, 'closeUnfit' | 'directConnections' | 'findAddress'>;
	readonly links: Links;
	readonly connector: Pick<Connector, 'check' | 'scout'>;
	readonly peers: Pick<TunnelPeers, 'introducedCount' | 'isHopeless' | 'prepare' | 'releaseIntroduced'>;
	/** Uniform from 0 to 1. */
	readonly random: () => number;
	readonly now: () => number;
	readonly listUpstreams: () => readonly GatewayUpstream[];
	/** Returns whether an upstream may get health checks at present. */
	readonly mayCheck: (upstream: GatewayUpstream) => boolean;
	readonly findUpstream: (address: string) => GatewayUpstream | undefined;
	/** Called for each check of a link, which has ended once the result is disposed of. */
	readonly track: () => Disposable;
	/** Called while links are cut, at intervals. */
	readonly onUpdate: () => void;
};

export class LinkWatch implements Disposable {
	readonly #options: LinkWatchOptions;
	readonly #lookTimer: NodeJS.Timeout;
	#checkTimer: NodeJS.Timeout | undefined;
	#receivedBytes = 0;
	#silentLooks = 0;
	#checkedAt = Number.NEGATIVE_INFINITY;
	#preparedAt = Number.NEGATIVE_INFINITY;
	#scoutedAt = Number.NEGATIVE_INFINITY;
	#isScouting = false;
	#cutAt = Number.NEGATIVE_INFINITY;
	/** Time of the last survey, and of the last one of each group. */
	#lastSurveyAt = Number.NEGATIVE_INFINITY;
	readonly #surveyedAt = new Map<string, number>();

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
		const {now, mayCheck} = this.#options;
		if (now() - this.#checkedAt >= checkGapMs && mayCheck(upstream)) {
			this.#checkedAt = now();
			void this.#check(upstream);
		}
	}

	/**
	 * Checks links to some upstreams of groups that may be cut.
	 *
	 * @param groups - Groups; those of all upstreams if absent.
	 */
	survey(groups?: readonly string[]): void {
		const {now, links, random} = this.#options;
		if (now() - this.#lastSurveyAt < surveyIntervalMs) {
			return;
		}

		this.#lastSurveyAt = now();
		const byGroup = new Map<string, GatewayUpstream[]>();
		for (const upstream of this.#listCheckable()) {
			const group = findLinkGroup(upstream);
			const isDue = (groups?.includes(group) ?? true) && now() - (this.#surveyedAt.get(group) ?? Number.NEGATIVE_INFINITY) >= groupGapMs;
			if (isDue && links.findRoute(upstream).type === 'direct') {
				byGroup.set(group, [...byGroup.get(group) ?? [], upstream]);
			}
		}

		const due = [...byGroup];
		const first = Math.floor(random() * due.length);
		for (let index = 0; index < Math.min(surveyedGroups, due.length); index++) {
			const [group, upstreams] = due[(first + index) % due.length]!;
			this.#surveyedAt.set(group, now());
			void this.#checkSoon(upstreams[Math.floor(random() * upstreams.length)]!, group);
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

	/** Hosts that are alerted together check at various times. A group that is found to be lost meanwhile needs no check. */
	async #checkSoon(upstream: GatewayUpstream, group: string): Promise<void> {
		const {links, random} = this.#options;
		await sleep(random() * maxSurveyDelayMs);
		if (!links.lostGroups.includes(group)) {
			await this.#check(upstream);
		}
	}

	#listCheckable(): readonly GatewayUpstream[] {
		const {listUpstreams, mayCheck} = this.#options;
		return listUpstreams().filter(upstream => mayCheck(upstream));
	}

	async #check(upstream: GatewayUpstream): Promise<void> {
		using _ = this.#options.track();
		await this.#options.connector.check(upstream);
	}

	#checkCutLinks(): void {
		const {links, now, agent, peers, onUpdate} = this.#options;
		onUpdate();
		if (links.hasCuts) {
			this.#cutAt = now();
		} else if (now() - this.#cutAt >= keepMs || peers.introducedCount === 0) {
			peers.releaseIntroduced();
			clearInterval(this.#checkTimer);
			this.#checkTimer = undefined;
			return;
		}

		this.#prepare();
		void this.#scout();

		for (const upstream of links.selectChecks(() => this.#listCheckable(), now())) {
			void (async () => {
				await this.#check(upstream);
				agent.closeUnfit();
			})();
		}
	}

	/** Gets offers of further hosts while all links to some groups are lost. */
	#prepare(): void {
		const {links, peers, now} = this.#options;
		if (links.lostGroups.length > 0 && now() - this.#preparedAt >= prepareIntervalMs) {
			this.#preparedAt = now();
			peers.prepare();
		}
	}

	/** Looks for a way to upstreams that no host reached a moment ago, in place of the requests. */
	async #scout(): Promise<void> {
		const {links, peers, connector, now, random} = this.#options;
		if (this.#isScouting || now() - this.#scoutedAt < scoutIntervalMs) {
			return;
		}

		const hopeless = this.#listCheckable().filter(each => links.findRoute(each).type === 'tunnel' && peers.isHopeless(each));
		const upstream = hopeless[Math.floor(random() * hopeless.length)];
		if (upstream === undefined) {
			return;
		}

		this.#isScouting = true;
		await connector.scout(upstream);
		this.#isScouting = false;
		this.#scoutedAt = now();
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
