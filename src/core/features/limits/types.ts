/** State of the organisations' limits at this host. Limits hold for the whole fleet; each host enforces its share. */
import {Map as Table} from 'immutable';
import {zeroRate, type Rate} from '../../utils/rates.js';

/** An organisation's demand at this host, and its debts: a leaky bucket for requests and one for tokens. */
export type Account = {
	/** Demand, whether admitted or not. */
	readonly requests: Rate;
	readonly tokens: Rate;
	/** Requests and tokens admitted and not yet covered by the limit's rate. */
	readonly requestDebt: number;
	readonly tokenDebt: number;
	/** Time at which the debts were last settled, in milliseconds. */
	readonly at: number;
};

export const noAccount: Account = {
	requests: zeroRate, tokens: zeroRate, requestDebt: 0, tokenDebt: 0, at: 0,
};

export type LimitsState = {
	/** By organisation; only those that have limits. */
	readonly accounts: Table<string, Account>;
};

export const initialLimits: LimitsState = {accounts: Table()};

/** Window of the demand rates. */
export const demandWindowMs = 5000;
