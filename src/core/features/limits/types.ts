/** Limits of organisations over the whole fleet, as one host keeps its part of them. */
import {Map as Table} from 'immutable';
import {noRate, type Rate} from '../../utils/rates.js';

/** What an organisation asks for at this host, and what it was given beyond its rate. */
export type Account = {
	readonly requests: Rate;
	readonly tokens: Rate;
	/** Requests and tokens admitted and not yet covered by the limit as time passes. */
	readonly requestDebt: number;
	readonly tokenDebt: number;
	/** Time up to which the debts were paid, in milliseconds. */
	readonly at: number;
};

export const noAccount: Account = {
	requests: noRate, tokens: noRate, requestDebt: 0, tokenDebt: 0, at: 0,
};

export type LimitsState = {
	/** By organisation; only those that have a limit. */
	readonly accounts: Table<string, Account>;
};

export const initialLimits: LimitsState = {accounts: Table()};

/** Time over which demand is counted, in milliseconds. */
export const demandWindowMs = 5000;
