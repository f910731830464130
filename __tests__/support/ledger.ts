/** Checks the guarantees for non-idempotent requests: compares what callers received with what upstreams executed. */
import {shortDigest} from '../../src/protocol/blocks.js';
import {type Fleet} from '../../bench/fleet/fleet.js';
import {type CallResult} from './caller.js';

/** A guarantee that did not hold. */
export type Violation = {
	readonly body: string;
	readonly guarantee: 'at most once' | 'not run is true' | 'done is true';
	readonly executions: number;
	readonly results: readonly string[];
};

export class Ledger {
	readonly #results = new Map<string, CallResult[]>();

	/**
	 * Records the result of a request.
	 *
	 * @param body - Body of the request; each logical request must have its own.
	 * @returns The result.
	 */
	record(body: string, result: CallResult): CallResult {
		this.#results.set(body, [...this.#results.get(body) ?? [], result]);
		return result;
	}

	/** Number of results by outcome. */
	get outcomes(): Readonly<Record<string, number>> {
		const counts: Record<string, number> = {};
		for (const {outcome} of [...this.#results.values()].flat()) {
			counts[outcome] = (counts[outcome] ?? 0) + 1;
		}

		return counts;
	}

	/** Returns every violated guarantee of the requests that the fleet ran. */
	async check(fleet: Fleet): Promise<readonly Violation[]> {
		const executions = await countExecutions(fleet);
		return [...this.#results].flatMap(([body, results]) => findViolations(body, results, executions.get(shortDigest(body)) ?? 0));
	}
}

async function countExecutions(fleet: Fleet): Promise<ReadonlyMap<string, number>> {
	const counts = new Map<string, number>();
	const add = (body: string, count: number) => {
		counts.set(body, (counts.get(body) ?? 0) + count);
	};

	for (const {byBody} of fleet.upstreams.plainServiceCounts) {
		for (const [body, count] of Object.entries(byBody)) {
			add(body, count);
		}
	}

	for (const {executions} of await fleet.upstreams.fetchExecutions()) {
		for (const {body} of executions) {
			add(body, 1);
		}
	}

	return counts;
}

/** A refusal that issues a ticket (1006) says only that this attempt did not run; other attempts may have run. */
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
