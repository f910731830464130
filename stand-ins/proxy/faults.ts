/** Faults between processes, and which connections each applies to. */
import {z} from 'zod';
import {assertNever} from '../../src/core/index.js';
import {millisecondsSchema} from '../common/settings.js';

/** Connections that a fault is for; an absent field stands for all. */
const where = z.object({
	/** Failure domain of the process that connects. */
	from: z.string().optional(),
	/** Failure domain of the process connected to. */
	to: z.string().optional(),
	/** Name of the link. */
	link: z.string().optional(),
}).readonly().default({});

/** Body of `POST /control`. Times are real milliseconds. */
export const faultSchema = z.discriminatedUnion('type', [
	/** Delivers every byte later, in both directions. */
	z.object({type: z.literal('delay'), where, delay: millisecondsSchema}),
	/** Resets connections that are open now. */
	z.object({type: z.literal('cut'), where}),
	/** Refuses new connections by a reset, and resets those that are open. */
	z.object({type: z.literal('refuse'), where}),
	/** Resets each connection that has carried this many bytes, both directions together. */
	z.object({type: z.literal('drop-after'), where, bytes: z.number().int().nonnegative()}),
	/** Delivers nothing until healed; what was sent meanwhile then arrives late, as TCP does. */
	z.object({type: z.literal('black-hole'), where}),
	/** Black-holes connections between failure domains of different groups, both ways. */
	z.object({type: z.literal('partition'), groups: z.array(z.array(z.string()).readonly()).min(2).readonly()}),
	/** Ends every fault. */
	z.object({type: z.literal('heal')}),
]);

export type Fault = z.infer<typeof faultSchema>;

/** A connection as faults see it. */
export type Route = {
	/** Undefined for a process of no failure domain, such as a client. */
	readonly from: string | undefined;
	readonly to: string | undefined;
	readonly link: string;
};

/** What the faults together do to one connection. */
export type Condition = {
	readonly delay: number;
	readonly isBlack: boolean;
	readonly isRefused: boolean;
	readonly dropAfter: number;
};

const healthy: Condition = {
	delay: 0, isBlack: false, isRefused: false, dropAfter: Number.POSITIVE_INFINITY,
};

function isBetween(groups: ReadonlyArray<readonly string[]>, {from, to}: Route): boolean {
	const groupOf = (domain: string | undefined) =>
		groups.findIndex(group => domain !== undefined && group.includes(domain));
	const source = groupOf(from);
	const destination = groupOf(to);
	return source !== -1 && destination !== -1 && source !== destination;
}

/**
 * @param fault - A fault.
 * @param route - A connection's way.
 * @returns Whether the fault is for the connection.
 */
export function concerns(fault: Fault, route: Route): boolean {
	if (fault.type === 'heal') {
		return true;
	}

	if (fault.type === 'partition') {
		return isBetween(fault.groups, route);
	}

	const {from, to, link} = fault.where;
	return (from ?? route.from) === route.from && (to ?? route.to) === route.to && (link ?? route.link) === route.link;
}

function add(condition: Condition, fault: Fault): Condition {
	switch (fault.type) {
		case 'delay': {
			return {...condition, delay: Math.max(condition.delay, fault.delay)};
		}

		case 'drop-after': {
			return {...condition, dropAfter: Math.min(condition.dropAfter, fault.bytes)};
		}

		case 'refuse': {
			return {...condition, isRefused: true};
		}

		case 'black-hole':
		case 'partition': {
			return {...condition, isBlack: true};
		}

		case 'cut':
		case 'heal': {
			return condition;
		}

		default: {
			return assertNever(fault);
		}
	}
}

/**
 * @param faults - Faults that are on.
 * @param route - A connection's way.
 * @returns What they do to the connection.
 */
export function conditionOf(faults: readonly Fault[], route: Route): Condition {
	let condition = healthy;
	for (const fault of faults.filter(each => concerns(each, route))) {
		condition = add(condition, fault);
	}

	return condition;
}
