/** The one checker of what must always hold for requests that may run only once; every scenario under faults uses it. */
import {shortDigest} from '../../src/protocol/blocks.js';
import {type Fleet} from '../../bench/fleet/fleet.js';
import {type Told} from './caller.js';

/** A promise that did not hold. */
export type Breach = {
	readonly body: string;
	readonly promise: 'at most once' | 'not run is true' | 'done is true';
	readonly executions: number;
	readonly told: readonly string[];
};

export class Ledger {
	readonly #told = new Map<string, Told[]>();

	/**
	 * @param body - Body of the request; each logical request has its own.
	 * @param told - What its caller was told.
	 * @returns The same.
	 */
	note(body: string, told: Told): Told {
		this.#told.set(body, [...this.#told.get(body) ?? [], told]);
		return told;
	}

	/** Answers by outcome. */
	get outcomes(): Readonly<Record<string, number>> {
		const counts: Record<string, number> = {};
		for (const {outcome} of [...this.#told.values()].flat()) {
			counts[outcome] = (counts[outcome] ?? 0) + 1;
		}

		return counts;
	}

	/**
	 * @param fleet - Fleet that ran the requests.
	 * @returns Every promise that did not hold.
	 */
	async check(fleet: Fleet): Promise<readonly Breach[]> {
		const ran = await countRuns(fleet);
		return [...this.#told].flatMap(([body, answers]) => breaches(body, answers, ran.get(shortDigest(body)) ?? 0));
	}
}

async function countRuns(fleet: Fleet): Promise<ReadonlyMap<string, number>> {
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
function isFinal({code}: Told): boolean {
	return code !== 1006;
}

function breaches(body: string, answers: readonly Told[], executions: number): readonly Breach[] {
	const told = answers.map(({outcome, code}) => `${outcome} ${code}`);
	const found: Breach[] = [];
	if (executions > 1) {
		found.push({
			body,
			promise: 'at most once',
			executions,
			told,
		});
	}

	const last = answers.at(-1);
	if (last?.outcome === 'not run' && isFinal(last) && executions > 0) {
		found.push({
			body,
			promise: 'not run is true',
			executions,
			told,
		});
	}

	if (last?.outcome === 'done' && executions !== 1) {
		found.push({
			body,
			promise: 'done is true',
			executions,
			told,
		});
	}

	return found;
}
