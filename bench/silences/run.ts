/** Plays a drawn situation in virtual time, and checks that silence of sound engines cuts no answer and repeats none without need. */
import {syncBuiltinESMExports} from 'node:module';
import {mock} from 'node:test';
import {setImmediate as turn} from 'node:timers/promises';
import {type CallerAnswer} from './host.js';
import {ModelFleet} from './fleet.js';
import {drawSituation, type Situation} from './situation.js';

const stepMs = 10;

/** Turns of the event loop within a step, in which everything in memory arrives. */
const turnsPerStep = 4;

/** Time in milliseconds after the last request in which all answers end. */
const endingMs = 25_500;

/** Requests that may run twice where all engines fall silent together: fewer than one in this many. */
const requestsPerRepetition = 100;

export const checks = ['whole', 'answered', 'ended', 'budget', 'repetitions', 'doubts'] as const;
export type Check = typeof checks[number];

export type Breach = {
	readonly check: Check;
	readonly detail: string;
};

export type SilenceRun = {
	readonly situation: Situation;
	readonly requests: number;
	/** Requests that were refused and did not run. */
	readonly refused: number;
	/** Requests that ran more than once. */
	readonly repeated: number;
	/** Successors that were sent. */
	readonly successors: number;
	/** Why attempts had no successor, and how often. */
	readonly obstacles: Readonly<Record<string, number>>;
	/** Answers with a longer pause than callers wait for. */
	readonly late: number;
	readonly breaches: readonly Breach[];
	/** Lines of all hosts. */
	readonly lines: ModelFleet['lines'];
};

/** Milliseconds after which callers leave a stream that sends nothing. */
const patienceMs = 2000;

function listEvents({body}: CallerAnswer): readonly number[] {
	return [...body.matchAll(/^id: (\d+)$/gmv)].map(match => Number(match[1]));
}

/** Returns why a stream that began isn't whole, or undefined. */
function findFlaw(answer: CallerAnswer): string | undefined {
	const events = listEvents(answer);
	const first = events.findIndex((event, index) => event !== index + 1);
	if (first !== -1) {
		return `event ${events[first]} follows event ${events[first - 1] ?? 0}`;
	}

	return answer.isWhole === true && events.length === answer.events ? undefined : `cut after ${events.length} of ${answer.events} events`;
}

/** Whether an engine that never sends anything again had a request last that no further engine may get. */
function isHopeless({id, maxAttempts}: CallerAnswer, fleet: ModelFleet): boolean {
	const engines = fleet.listEngines(id);
	return engines.at(-1)?.isHung === true && new Set(engines).size >= maxAttempts;
}

function checkAnswer(answer: CallerAnswer): readonly Breach[] {
	const {id, status, isWhole} = answer;
	if (isWhole === undefined) {
		return [{check: 'ended', detail: `${id} has no end, status ${status}, ${listEvents(answer).length} of ${answer.events} events`}];
	}

	if (status === 200) {
		const flaw = findFlaw(answer);
		return flaw === undefined ? [] : [{check: 'whole', detail: `${id}: ${flaw}`}];
	}

	return status === 503 ? [] : [{check: 'answered', detail: `${id}: status ${status}: ${answer.body}`}];
}

function countBy(values: readonly string[]): Readonly<Record<string, number>> {
	const counts: Record<string, number> = {};
	for (const value of values) {
		counts[value] = (counts[value] ?? 0) + 1;
	}

	return counts;
}

function checkRun(fleet: ModelFleet, situation: Situation, repeated: readonly string[]): readonly Breach[] {
	const {answers, lines} = fleet;
	const areAllSilent = situation.silences.every(({scope}) => scope === 'all') && !situation.changes.some(({type}) => type === 'hang');
	const doubts = lines.filter(({event}) => event === 'upstream-doubted' || event === 'domain-unreachable');
	return [
		...answers.filter(answer => !isHopeless(answer, fleet)).flatMap(answer => checkAnswer(answer)),
		...(situation.budget === 'spent' && repeated.length > 0 ? [{check: 'budget', detail: `${repeated.length} requests ran twice without a budget: ${repeated.join(' ')}`} as const] : []),
		...(areAllSilent && repeated.length * requestsPerRepetition >= answers.length && repeated.length > 0
			? [{check: 'repetitions', detail: `${repeated.length} of ${answers.length} requests ran twice while all engines were silent: ${repeated.join(' ')}`} as const]
			: []),
		...(areAllSilent && doubts.length > 0 ? [{check: 'doubts', detail: `${doubts.length} doubts while all engines were silent, first ${JSON.stringify(doubts[0])}`} as const] : []),
	];
}

function summarise(fleet: ModelFleet, situation: Situation): SilenceRun {
	const {answers, runs, lines} = fleet;
	const repeated = Object.entries(countBy(runs.map(({request}) => request))).filter(([, count]) => count > 1).map(([id]) => id);
	return {
		situation,
		requests: answers.length,
		refused: answers.filter(({status}) => status === 503).length,
		repeated: repeated.length,
		successors: lines.filter(({event}) => event === 'successor-sent').length,
		obstacles: countBy(lines.flatMap(({event, obstacle}) => event === 'successor-missing' ? [String(obstacle)] : [])),
		late: answers.filter(({longestPause}) => longestPause > patienceMs).length,
		breaches: checkRun(fleet, situation, repeated),
		lines,
	};
}

/**
 * @param seed - Seed.
 * @returns What happened, and what must not.
 */
export async function runSilences(seed: number): Promise<SilenceRun> {
	const situation = drawSituation(seed);
	let now = 0;
	mock.timers.enable({apis: ['setInterval', 'setTimeout']});
	// Modules that import timers by name use the virtual ones as well.
	syncBuiltinESMExports();
	try {
		const fleet = new ModelFleet({situation, seed, now: () => now});
		fleet.start();
		const end = situation.end + endingMs;
		while (now < end && (now < situation.end || fleet.answers.some(({isWhole}) => isWhole === undefined))) {
			now += stepMs;
			mock.timers.tick(stepMs);
			for (let index = 0; index < turnsPerStep; index++) {
				await turn();
			}
		}

		const result = summarise(fleet, situation);
		await fleet[Symbol.asyncDispose]();
		return result;
	} finally {
		mock.timers.reset();
		syncBuiltinESMExports();
	}
}
