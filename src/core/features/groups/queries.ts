/** Plans groups of engines: which engines take part, and which segment of the prompt each holds. */
import {type Engine} from '../../types/configuration.js';
import {type Request} from '../../types/request.js';
import {type StepContext, type State} from '../../types/state.js';
import {listDomainUpstreams, findService} from '../configuration/queries.js';
import {findUsable} from '../routing/candidates.js';
import {getView} from '../upstreams/queries.js';
import {estimateOutput} from '../work/queries.js';
import {type Group, type GroupPart} from './types.js';

/** Largest share of an engine's memory that a segment may take, so that short prompts still fit beside it. */
export const maxFillRatio = 0.85;

/** Groups of one service that a host may form or run at a time. */
const maxGroupsPerService = 2;

/** Memory is reserved for an answer this many times as long as expected. */
const outputHeadroomFactor = 2;

/**
 * @param state - Core state.
 * @param id - Service.
 * @param now - Time in milliseconds.
 * @returns Whether this host may form another group for the service now.
 */
export function canFormGroup(state: State, id: string, now: number): boolean {
	const count = state.groups.groups.count(each => each.request.service === id);
	return count < maxGroupsPerService && now >= (state.groups.backoffDeadlines.get(id) ?? 0);
}

/**
 * @param state - Core state.
 * @param hold - Hold.
 * @returns The group that the hold belongs to; undefined if the group has been dissolved.
 */
export function findGroupByHold(state: State, hold: string): Group | undefined {
	return state.groups.groups.find(each => each.parts.some(part => part.hold === hold));
}

function getUsedMemory(state: State, engine: Engine): number {
	const {footprint, report} = getView(state, engine.id);
	return Math.max(footprint, report?.usedMemory ?? 0);
}

/** Chooses as few engines as possible, those with the most free memory first; undefined if all are not enough. */
function chooseEngines(engines: readonly Engine[], tokens: number, used: (engine: Engine) => number): readonly Engine[] | undefined {
	const chosen: Engine[] = [];
	let room = 0;
	for (const each of engines.toSorted((a, b) => (b.memory - used(b)) - (a.memory - used(a)))) {
		if (room >= tokens) {
			break;
		}

		chosen.push(each);
		room += Math.floor(each.memory * maxFillRatio);
	}

	return room >= tokens ? chosen : undefined;
}

/**
 * Plans a group. Parts are listed, and later requested, in the order of the engines' ids at every host, which prevents deadlock: of
 * two hosts that need some of the same engines, the one that holds the first of these never waits for the other at a later one.
 *
 * @param state - Core state.
 * @param request - Request whose prompt does not fit into one engine.
 * @param context - Time.
 * @returns The parts, or undefined if the usable engines are too few.
 */
export function planGroup(state: State, request: Request, context: StepContext): readonly GroupPart[] | undefined {
	const requestedService = findService(state, request.service);
	if (requestedService === undefined) {
		return undefined;
	}

	const all = listDomainUpstreams(state, request.service, state.self.failureDomain);
	const search = {
		request, requestedService, failureDomain: state.self.failureDomain, failedUpstreams: [],
	};
	const engines = findUsable(state, all, search, context).filter((each): each is Engine => each.kind === 'engine');
	const output = Math.max(request.outputLimit ?? 0, estimateOutput(state, request) * outputHeadroomFactor);
	const chosen = chooseEngines(engines, request.promptTokens + output, each => getUsedMemory(state, each));
	return chosen === undefined ? undefined : splitPrompt(state, request, chosen, output);
}

/** Splits the prompt in proportion to memory. The last engine decodes, so its segment is shorter by the answer. */
function splitPrompt(state: State, request: Request, engines: readonly Engine[], output: number): readonly GroupPart[] {
	const sorted = engines.toSorted((a, b) => a.id < b.id ? -1 : 1);
	const {host, started} = state.self.incarnation;
	let memory = 0;
	for (const each of sorted) {
		memory += each.memory;
	}

	let from = 0;
	return sorted.map((engine, index) => {
		const isLast = index === sorted.length - 1;
		const tokens = Math.ceil((request.promptTokens + output) * engine.memory / memory);
		const to = isLast ? request.promptTokens : Math.min(from + tokens, request.promptTokens);
		const part: GroupPart = {
			upstream: engine.id,
			hold: `${host}.${started}.${state.groups.attempts}.${index}`,
			tokens: Math.max(to - from, 1) + (isLast ? output : 0),
			from,
			to,
		};
		from = to;
		return part;
	});
}
