/** The one checker of what must always hold for requests that may run only once; every scenario under faults uses it. */
import {shortDigest} from '../../src/protocol/blocks.js';
import {type Fleet} from '../../bench/fleet/fleet.js';
import {type CallResult} from './caller.js';

/** A promise that did not hold. */
export type Violation = {
	readonly body: string;
	readonly guarantee: 'at most once' | 'not run is true' | 'done is true';
	readonly executions: number;
	readonly results: readonly string[];
};

export class Ledger {
	readonly #results = new Map<string, CallResult[]>();

	/**
	 * @param body - Body of the request; each logical request has its own.
	 * @param result - What its caller was told.
	 * @returns The same.
	 */
	record(body: string, result: CallResult): CallResult {
		this.#results.set(body, [...this.#results.get(body) ?? [], result]);
		return result;
	}

	/** Answers by outcome. */
	get outcomes(): Readonly<Record<string, number>> {
		const counts: Record<string, number> = {};
		for (const {outcome} of [...this.#results.values()].flat()) {
			counts[outcome] = (counts[outcome] ?? 0) + 1;
		}

		return counts;
	}

	/**
	 * @param fleet - Fleet that ran the requests.
	 * @returns Every promise that did not hold.
	 */
	async check(fleet: Fleet): Promise<readonly Violation[]> {
		const executions = await countExecutions(fleet);
		return [...this.#results].flatMap(([body, answers]) => findViolations(body, answers, executions.get(shortDigest(body)) ?? 0));
	}
}

async function countExecutions(fleet: Fleet): Promise<ReadonlyMap<string, number>> {
	const counts = new Map<string, number>();
	const add = (body: string, count: number) => {
		counts.set(body, (counts.get(body) ?? 0) + count);
	};

	for (const {byBody} of fleet.upstreams.plainCounts) {
		for (const [body, count] of Object.entries(byBody)) {
			add(body, count);
		}
	}

	for (const {executions} of await fleet.upstreams.executions()) {
		for (const {body} of executions) {
			add(body, 1);
		}
	}

	return counts;
}

/** A refusal that brings a ticket says of itself only that this sending did not run. */
function isFinal({code}: CallResult): boolean {
	return code !== 1006;
}

function findViolations(body: string, results: readonly CallResult[], executions: number): readonly Violation[] {
	const summaries = results.map(({outcome, code}) => `${outcome} ${code}`);
	const violations: Violation[] = [];
	if (executions > 1) {
		violations.push({
			body,
			guarantee: 'at most once',
			executions,
			results: summaries,
		});
	}

	const last = results.at(-1);
	if (last?.outcome === 'not run' && isFinal(last) && executions > 0) {
		violations.push({
			body,
			guarantee: 'not run is true',
			executions,
			results: summaries,
		});
	}

	if (last?.outcome === 'done' && executions !== 1) {
		violations.push({
			body,
			guarantee: 'done is true',
			executions,
			results: summaries,
		});
	}

	return violations;
}
