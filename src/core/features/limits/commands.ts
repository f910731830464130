/** Updates the accounts of organisations that have limits. */
import {type Request} from '../../types/request.js';
import {type State} from '../../types/state.js';
import {removeOldest} from '../../utils/bounded.js';
import {addAmount} from '../../utils/rates.js';
import {findOrganisation} from '../configuration/queries.js';
import {estimateOutput} from '../work/queries.js';
import {settleDebts, computeShare} from './queries.js';
import {demandWindowMs, noAccount, type Account} from './types.js';

const maxAccounts = 8192;

function setAccount(state: State, id: string, account: Account): State {
	const accounts = removeOldest(state.limits.accounts.set(id, account), maxAccounts, each => each.requests.at);
	return {...state, limits: {accounts}};
}

function hasLimits(state: State, id: string): boolean {
	const limits = findOrganisation(state, id)?.limits ?? {};
	return Object.values(limits).some(each => each !== undefined);
}

function countTokens(state: State, request: Request): number {
	return request.promptTokens + estimateOutput(state, request);
}

/**
 * Counts a request's demand, whether or not it is admitted.
 *
 * @param state - Core state.
 * @param request - Request that arrived.
 * @param now - Time in milliseconds.
 * @returns The next state.
 */
export function countDemand(state: State, request: Request, now: number): State {
	if (!hasLimits(state, request.organisation)) {
		return state;
	}

	const account = state.limits.accounts.get(request.organisation) ?? {...noAccount, at: now};
	return setAccount(state, request.organisation, {
		...account,
		requests: addAmount(account.requests, 1, now, demandWindowMs),
		tokens: addAmount(account.tokens, countTokens(state, request), now, demandWindowMs),
	});
}

/**
 * @param state - Core state.
 * @param request - Request that was admitted.
 * @param now - Time in milliseconds.
 * @returns The next state.
 */
export function charge(state: State, request: Request, now: number): State {
	const account = state.limits.accounts.get(request.organisation);
	const limits = findOrganisation(state, request.organisation)?.limits;
	if (account === undefined || limits === undefined) {
		return state;
	}

	const settled = settleDebts(account, limits, computeShare(state, request.organisation, now), now);
	return setAccount(state, request.organisation, {
		...settled,
		requestDebt: settled.requestDebt + 1,
		tokenDebt: settled.tokenDebt + countTokens(state, request),
	});
}
