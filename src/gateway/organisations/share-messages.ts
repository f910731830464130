/** Use of services by organisations on the wire. */
import {z} from 'zod';
import {maxCountedSilenceMs, usualWindowMs} from '../../core/gateway/limits/organisation-use.js';
import {maxNamedOrganisations} from '../../core/gateway/limits/share-history.js';
import {
	minHistoryMs, pressureMs, restrictionMs, retentionMs, maxOrganisations,
} from '../../core/gateway/limits/shares.js';
import {roundTo} from '../../core/utils/numbers.js';
import {isTag} from '../peers/load-messages.js';
import {type ServiceHistory} from './organisation-shares.js';

/** Largest number of services in one message; with 256 organisations each, it stays under the limit of messages of 2 MB. */
export const maxServices = 32;

/** Longest time, in milliseconds, that decayed sums can cover. */
const maxCoveredMs = usualWindowMs + maxCountedSilenceMs;

/** Longest history that is sent, in milliseconds: a longer one makes no difference. */
const maxHistoryMs = 3_600_000;

/** Weights beyond it can't be right. */
const maxWeights = 1e12;

/** Sums are rounded to three decimal places: those of the named organisations may exceed the total by as much. */
const roundingShare = 1.01;

const sum = z.number().nonnegative().max(maxWeights);
const squares = z.number().nonnegative().max(maxWeights ** 2);
const restriction = z.number().nonnegative().max(restrictionMs);

const namedSchema = z.object({
	organisation: z.string().refine(isTag, 'is no tag'),
	age: z.number().nonnegative().max(retentionMs),
	present: sum,
	usual: sum,
	squares,
	covered: z.number().nonnegative().max(maxCoveredMs),
	overall: sum,
	assumed: z.number().nonnegative().max(maxCoveredMs),
	/** One for each number of ranks that a priority moves a request. */
	restricted: z.tuple([restriction, restriction, restriction, restriction, restriction]).optional(),
});

const historySchema = z.object({
	service: z.string().min(1).max(512),
	history: z.number().min(minHistoryMs).max(maxHistoryMs),
	full: z.number().nonnegative().max(pressureMs),
	present: sum,
	usual: sum,
	squares,
	unnamed: z.number().int().nonnegative().max(maxOrganisations),
	organisations: z.array(namedSchema).max(maxNamedOrganisations),
}).refine(({usual, organisations}) => sumOverall(organisations) <= (usual * roundingShare) + 1, {
	path: ['usual'], error: 'is less than the sum of its parts',
});

/** Returns the sum of the use of organisations at the time of sending. */
function sumOverall(organisations: ReadonlyArray<{readonly overall: number; readonly age: number}>): number {
	return organisations.reduce((total, {overall, age}) => total + (overall * Math.exp(-age / usualWindowMs)), 0);
}

/** What was received of one service: its use, or what is wrong with it. */
export type ReceivedHistory
	= | {readonly type: 'valid'; readonly history: ServiceHistory}
		| {readonly type: 'invalid'; readonly field: string; readonly problem: string};

function round(value: number): number {
	return roundTo(value, 3);
}

/**
 * @param histories - Use of services as known to this host.
 * @returns The same as sent to a peer.
 */
export function toWireHistories(histories: readonly ServiceHistory[]): readonly unknown[] {
	return histories.slice(0, maxServices).map(({service, history, full, present, usual, squares, unnamed, organisations}) => ({
		service,
		history: Math.min(Math.round(history), maxHistoryMs),
		full: Math.round(full),
		present: round(present),
		usual: round(usual),
		squares: round(squares),
		unnamed,
		organisations: organisations.map(use => ({
			organisation: use.organisation,
			age: Math.min(Math.round(use.age), retentionMs),
			present: round(use.present),
			usual: round(use.usual),
			squares: round(use.squares),
			covered: Math.round(use.covered),
			overall: round(use.overall),
			assumed: use.assumed,
			restricted: use.restricted?.map(remaining => Math.round(remaining)),
		})),
	}));
}

/**
 * @param value - Use of services as received.
 * @returns What was received of each service; nothing if the value isn't a list.
 */
export function fromWireHistories(value: unknown): readonly ReceivedHistory[] {
	if (!Array.isArray(value)) {
		return value === undefined ? [] : [{type: 'invalid', field: 'shares', problem: 'is no list'}];
	}

	return value.slice(0, maxServices).map((each: unknown): ReceivedHistory => {
		const {data, error} = historySchema.safeParse(each);
		const issue = error?.issues[0];
		return data === undefined
			? {type: 'invalid', field: issue?.path.join('.') ?? '', problem: issue?.message ?? ''}
			: {type: 'valid', history: data};
	});
}
