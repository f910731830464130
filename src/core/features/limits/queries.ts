/** Works out this host's part of an organisation's limits from what everyone publishes of the demand. */
import {type Organisation} from '../../types/configuration.js';
import {type Demand} from '../../types/peer.js';
import {type Request} from '../../types/request.js';
import {type State} from '../../types/state.js';
import {perSecond} from '../../utils/rates.js';
import {organisation} from '../configuration/queries.js';
import {type Peer} from '../membership/types.js';
import {runningOf} from '../requests/queries.js';
import {demandSpan, noAccount, type Account} from './types.js';

/** Organisations whose demand one host publishes, the largest first. */
const mostPublished = 64;

/** What may be given at once, as time of the limit, in seconds. */
const burst = 1;

/** Demand of a host that asks for nothing yet, in tokens per second, so that shares add up from the start. */
const leastDemand = 1;

const byOrganisation = new WeakMap<readonly Demand[], ReadonlyMap<string, Demand>>();

function demandOf(peer: Peer, id: string): number {
	let table = byOrganisation.get(peer.demands);
	if (table === undefined) {
		table = new Map(peer.demands.map(each => [each.organisation, each]));
		byOrganisation.set(peer.demands, table);
	}

	return table.get(id)?.tokensPerSecond ?? 0;
}

/**
 * @param state - Core state.
 * @param now - Time in milliseconds.
 * @returns Demand at this host of organisations that have a limit, as it is published to peers.
 */
export function ownDemands(state: State, now: number): readonly Demand[] {
	return [...state.limits.accounts.entries()]
		.map(([id, account]) => ({
			organisation: id,
			requestsPerSecond: perSecond(account.requests, now, demandSpan),
			tokensPerSecond: perSecond(account.tokens, now, demandSpan),
		}))
		.filter(each => each.requestsPerSecond > 0.01)
		.toSorted((a, b) => b.tokensPerSecond - a.tokensPerSecond)
		.slice(0, mostPublished);
}

/** Demand of one failure domain: what was heard of it, scaled to the hosts that are known there. */
type Domain = {
	readonly heard: number;
	readonly known: number;
	readonly demand: number;
};

function domains(state: State, id: string): ReadonlyMap<string, Domain> {
	const found = new Map<string, Domain>();
	for (const peer of state.membership.peers.values()) {
		const before = found.get(peer.member.failureDomain) ?? {heard: 0, known: 0, demand: 0};
		if (peer.status === 'gone') {
			continue;
		}

		const heard = peer.status === 'live' ? 1 : 0;
		found.set(peer.member.failureDomain, {
			heard: before.heard + heard,
			known: before.known + 1,
			demand: before.demand + (heard * (demandOf(peer, id) + leastDemand)),
		});
	}

	return found;
}

/**
 * By demand among everyone heard. A failure domain from which nobody is heard keeps its even part to itself, so that
 * both sides of a cut together stay within the limit.
 *
 * @param state - Core state.
 * @param id - Organisation.
 * @param now - Time in milliseconds.
 * @returns This host's part of the organisation's limits, from 0 to 1.
 */
export function share(state: State, id: string, now: number): number {
	const own = perSecond((state.limits.accounts.get(id) ?? noAccount).tokens, now, demandSpan) + leastDemand;
	const others = domains(state, id);
	let total = own;
	let cutOff = 0;
	for (const domain of state.configuration.inForce?.failureDomains ?? []) {
		const known = others.get(domain.id);
		const isOwn = domain.id === state.self.failureDomain;
		if (known !== undefined && known.heard > 0) {
			// Of the own domain every connected host is heard itself; of another one only a few are.
			total += isOwn ? known.demand : known.demand * known.known / known.heard;
		} else if (!isOwn) {
			cutOff += 1;
		}
	}

	const all = state.configuration.inForce?.failureDomains.length ?? 1;
	return (own / total) * (all - cutOff) / all;
}

/**
 * @param account - Account.
 * @param limits - Limits over the whole fleet.
 * @param part - This host's part of them.
 * @param now - Time in milliseconds.
 * @returns The account with its debts paid up to now.
 */
export function pay(account: Account, limits: Organisation['limits'], part: number, now: number): Account {
	const seconds = Math.max(now - account.at, 0) / 1000;
	return {
		...account,
		requestDebt: Math.max(account.requestDebt - (seconds * part * (limits.requestsPerSecond ?? 0)), 0),
		tokenDebt: Math.max(account.tokenDebt - (seconds * part * (limits.tokensPerSecond ?? 0)), 0),
		at: now,
	};
}

/** Time until a debt is small enough, in milliseconds. */
function excess(debt: number, rate: number, least: number): number {
	const allowed = Math.max(rate * burst, least);
	return debt < allowed ? 0 : ((debt - allowed) * 1000 / rate) + 1;
}

/**
 * @param state - Core state.
 * @param request - Request that arrived.
 * @param now - Time in milliseconds.
 * @returns Time until the organisation's limits may allow it, in milliseconds; 0 if they do.
 */
export function limitedFor(state: State, request: Request, now: number): number {
	const limits = organisation(state, request.organisation)?.limits;
	if (limits === undefined || Object.values(limits).every(each => each === undefined)) {
		return 0;
	}

	const part = share(state, request.organisation, now);
	const account = pay(state.limits.accounts.get(request.organisation) ?? noAccount, limits, part, now);
	const concurrent = Math.max(Math.floor((limits.concurrent ?? Number.MAX_SAFE_INTEGER) * part), 1);
	return Math.ceil(Math.max(
		limits.requestsPerSecond === undefined ? 0 : excess(account.requestDebt, limits.requestsPerSecond * part, 1),
		limits.tokensPerSecond === undefined ? 0 : excess(account.tokenDebt, limits.tokensPerSecond * part, 1),
		runningOf(state, request.organisation) >= concurrent ? 1000 : 0,
	));
}
