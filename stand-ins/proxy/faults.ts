/** Network faults between processes, and the connections that each affects. */
import {z} from 'zod';
import {assertNever} from '../../src/core/index.js';
import {millisecondsSchema} from '../common/settings.js';

/** Selects the connections that a fault affects; an absent field matches all. */
const where = z.object({
	/** Failure domain of the process that connects. */
	from: z.string().optional(),
	/** Failure domain of the target process. */
	to: z.string().optional(),
	/** Name of the link. */
	link: z.string().optional(),
}).readonly().default({});

/** Body of `POST /control`. Times are real milliseconds. */
export const faultSchema = z.discriminatedUnion('type', [
	/** Delays every byte, in both directions. */
	z.object({type: z.literal('delay'), where, delay: millisecondsSchema}),
	/** Resets connections that are currently open. */
	z.object({type: z.literal('cut'), where}),
	/** Resets new connections and those that are open. */
	z.object({type: z.literal('refuse'), where}),
	/** Resets each connection once it has carried more than this many bytes, both directions together. */
	z.object({type: z.literal('drop-after'), where, bytes: z.number().int().nonnegative()}),
	/** Delivers nothing until `heal`; bytes sent meanwhile arrive then, as with TCP. */
	z.object({type: z.literal('black-hole'), where}),
	/** Black-holes connections between failure domains of different groups, both ways. */
	z.object({type: z.literal('partition'), groups: z.array(z.array(z.string()).readonly()).min(2).readonly()}),
	/** Ends all faults. */
	z.object({type: z.literal('heal')}),
]);

export type Fault = z.infer<typeof faultSchema>;

/** Attributes of a connection by which faults select it. */
export type Route = {
	/** Undefined for a process without a failure domain, such as a client. */
	readonly from: string | undefined;
	readonly to: string | undefined;
	readonly link: string;
};

/** Combined effect of the active faults on one connection. */
export type FaultEffect = {
	/** Milliseconds. */
	readonly delay: number;
	readonly isBlackHoled: boolean;
	readonly isRefused: boolean;
	/** Bytes after which the connection is reset. */
	readonly dropAfter: number;
};

const noEffect: FaultEffect = {
	delay: 0, isBlackHoled: false, isRefused: false, dropAfter: Number.POSITIVE_INFINITY,
};

function isPartitioned(groups: ReadonlyArray<readonly string[]>, {from, to}: Route): boolean {
	const groupOf = (domain: string | undefined) =>
		groups.findIndex(group => domain !== undefined && group.includes(domain));
	const source = groupOf(from);
	const destination = groupOf(to);
	return source !== -1 && destination !== -1 && source !== destination;
}

/** Returns whether a fault affects a connection. */
export function affects(fault: Fault, route: Route): boolean {
	if (fault.type === 'heal') {
		return true;
	}

	if (fault.type === 'partition') {
		return isPartitioned(fault.groups, route);
	}

	const {from, to, link} = fault.where;
	return (from ?? route.from) === route.from && (to ?? route.to) === route.to && (link ?? route.link) === route.link;
}

function addEffect(effect: FaultEffect, fault: Fault): FaultEffect {
	switch (fault.type) {
		case 'delay': {
			return {...effect, delay: Math.max(effect.delay, fault.delay)};
		}

		case 'drop-after': {
			return {...effect, dropAfter: Math.min(effect.dropAfter, fault.bytes)};
		}

		case 'refuse': {
			return {...effect, isRefused: true};
		}

		case 'black-hole':
		case 'partition': {
			return {...effect, isBlackHoled: true};
		}

		case 'cut':
		case 'heal': {
			return effect;
		}

		default: {
			return assertNever(fault);
		}
	}
}

/** Returns the combined effect of the active faults on a connection. */
export function combineFaults(faults: readonly Fault[], route: Route): FaultEffect {
	let effect = noEffect;
	for (const fault of faults.filter(each => affects(each, route))) {
		effect = addEffect(effect, fault);
	}

	return effect;
}
