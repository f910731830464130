/** Computes this host's share of each organisation's limits from the demand that all hosts publish. */
import {type Organisation} from '../../types/configuration.js';
import {type Demand} from '../../types/peer.js';
import {type Request} from '../../types/request.js';
import {type State} from '../../types/state.js';
import {getRatePerSecond} from '../../utils/rates.js';
import {findOrganisation} from '../configuration/queries.js';
import {type Peer} from '../membership/types.js';
import {countUnanswered} from '../requests/queries.js';
import {demandWindowMs, noAccount, type Account} from './types.js';

/** Organisations whose demand one host publishes; those with the largest demand are kept. */
const maxPublishedDemands = 64;

/** Burst that an organisation may use at once, as the amount that its limit grants in this time. */
const burstSeconds = 1;

/** Added to each host's demand, so that the shares add up to 1 before any demand is measured. */
const minDemandTokensPerSecond = 1;

const demandTables = new WeakMap<readonly Demand[], ReadonlyMap<string, Demand>>();

function getDemand(peer: Peer, id: string): number {
	let table = demandTables.get(peer.demands);
	if (table === undefined) {
		table = new Map(peer.demands.map(each => [each.organisation, each]));
		demandTables.set(peer.demands, table);
	}

	return table.get(id)?.tokensPerSecond ?? 0;
}

/**
 * @param state - Core state.
 * @param now - Time in milliseconds.
 * @returns Demand at this host by organisations that have a limit, as published to peers.
 */
export function getOwnDemands(state: State, now: number): readonly Demand[] {
	return [...state.limits.accounts.entries()]
		.map(([id, account]) => ({
			organisation: id,
			requestsPerSecond: getRatePerSecond(account.requests, now, demandWindowMs),
			tokensPerSecond: getRatePerSecond(account.tokens, now, demandWindowMs),
		}))
		.filter(each => each.requestsPerSecond > 0.01)
		.toSorted((a, b) => b.tokensPerSecond - a.tokensPerSecond)
		.slice(0, maxPublishedDemands);
}

/** Demand of one failure domain, as the live peers there publish it. */
type DomainDemand = {
	/** Peers whose heartbeats or digests arrive. */
	readonly live: number;
	/** Peers that are not known to be dead, live ones included. */
	readonly known: number;
	/** Sum over the live peers, in tokens per second. */
	readonly demand: number;
};

function sumDomainDemands(state: State, id: string): ReadonlyMap<string, DomainDemand> {
	const found = new Map<string, DomainDemand>();
	for (const peer of state.membership.peers.values()) {
		const before = found.get(peer.member.failureDomain) ?? {live: 0, known: 0, demand: 0};
		if (peer.status === 'gone') {
			continue;
		}

		const live = peer.status === 'live' ? 1 : 0;
		found.set(peer.member.failureDomain, {
			live: before.live + live,
			known: before.known + 1,
			demand: before.demand + (live * (getDemand(peer, id) + minDemandTokensPerSecond)),
		});
	}

	return found;
}

/**
 * Divides the limits in proportion to demand. A failure domain without live peers is left an even part of them, so that both sides of a
 * network partition together stay within the limit.
 *
 * @param state - Core state.
 * @param id - Organisation.
 * @param now - Time in milliseconds.
 * @returns This host's share of the organisation's limits, from 0 to 1.
 */
export function computeShare(state: State, id: string, now: number): number {
	const own = getRatePerSecond((state.limits.accounts.get(id) ?? noAccount).tokens, now, demandWindowMs) + minDemandTokensPerSecond;
	const others = sumDomainDemands(state, id);
	let total = own;
	let unreachableDomains = 0;
	for (const domain of state.configuration.inForce?.failureDomains ?? []) {
		const known = others.get(domain.id);
		const isOwn = domain.id === state.self.failureDomain;
		if (known !== undefined && known.live > 0) {
			// All connected hosts of this domain send heartbeats here; of another domain only a few do, so their demand is scaled up.
			total += isOwn ? known.demand : known.demand * known.known / known.live;
		} else if (!isOwn) {
			unreachableDomains += 1;
		}
	}

	const domainCount = state.configuration.inForce?.failureDomains.length ?? 1;
	return (own / total) * (domainCount - unreachableDomains) / domainCount;
}

/**
 * @param account - Account.
 * @param limits - Limits over the whole fleet.
 * @param share - This host's share of them, from 0 to 1.
 * @param now - Time in milliseconds.
 * @returns The account with its debts reduced by what the limits granted since they were last settled.
 */
export function settleDebts(account: Account, limits: Organisation['limits'], share: number, now: number): Account {
	const seconds = Math.max(now - account.at, 0) / 1000;
	return {
		...account,
		requestDebt: Math.max(account.requestDebt - (seconds * share * (limits.requestsPerSecond ?? 0)), 0),
		tokenDebt: Math.max(account.tokenDebt - (seconds * share * (limits.tokensPerSecond ?? 0)), 0),
		at: now,
	};
}

/** Computes the time until a debt is within the allowed burst, in milliseconds. */
function computeWait(debt: number, rate: number, minAllowed: number): number {
	const allowed = Math.max(rate * burstSeconds, minAllowed);
	return debt < allowed ? 0 : ((debt - allowed) * 1000 / rate) + 1;
}

/**
 * @param state - Core state.
 * @param request - Request that arrived.
 * @param now - Time in milliseconds.
 * @returns Time until the organisation's limits may allow it, in milliseconds; 0 if they allow it now.
 */
export function getLimitDelay(state: State, request: Request, now: number): number {
	const limits = findOrganisation(state, request.organisation)?.limits;
	if (limits === undefined || Object.values(limits).every(each => each === undefined)) {
		return 0;
	}

	const share = computeShare(state, request.organisation, now);
	const account = settleDebts(state.limits.accounts.get(request.organisation) ?? noAccount, limits, share, now);
	const concurrent = Math.max(Math.floor((limits.concurrent ?? Number.MAX_SAFE_INTEGER) * share), 1);
	return Math.ceil(Math.max(
		limits.requestsPerSecond === undefined ? 0 : computeWait(account.requestDebt, limits.requestsPerSecond * share, 1),
		limits.tokensPerSecond === undefined ? 0 : computeWait(account.tokenDebt, limits.tokensPerSecond * share, 1),
		countUnanswered(state, request.organisation) >= concurrent ? 1000 : 0,
	));
}
