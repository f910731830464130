/** Engines that crash while many hosts use them: attempts that the callers of a failure domain lose. */
import {describe, expect, it} from 'vitest';
import {createRandom} from '../../../../bench/model/workload.js';
import {createAbsence, appliesIn, absenceToVerdict} from '../health/absences.js';
import {Health} from '../health/health.js';
import {Load} from '../engines/load.js';
import {place, type PlacementOptions} from '../placement/placement.js';
import {defaultPolicy} from '../placement/policy.js';
import {type Demand, type EngineModel, type GatewayUpstream} from '../types.js';
import {findDeparture} from './fixtures.js';

const model: EngineModel = {
	slots: 7, memory: 200_000, stride: 16, step: 1, perRequest: 0.02, perThousand: 0.002, readRate: 200, pairs: 0.1, chunk: 2048, hop: 0.3, usualPrompt: 5000, usualAnswer: 500,
};

const hosts = 200;
const requests = 800;

/** Milliseconds between two requests of the domain. */
const requestIntervalMs = 5;

/** Milliseconds until a request is answered: beside engines that are busy for so long, a crashed one looks idle. */
const answerTimeMs = 800;

const engines: readonly GatewayUpstream[] = Array.from({length: 40}, (_, index) => ({
	id: `e${index}`, service: 'm', address: {host: '127.0.0.1', port: 1000 + index}, failureDomain: 'a', slots: 7, isDraining: false,
}));
const crashed: ReadonlySet<string> = new Set(['e3', 'e11', 'e19', 'e27', 'e35']);

type PlacedRequest = {readonly demand: Demand; readonly host: number; readonly now: number};

/** A failure domain whose hosts place requests while some engines refuse connections. */
class Domain {
	readonly #isReporting: boolean;
	readonly #healths = Array.from({length: hosts}, () => new Health());
	readonly #load = new Load();

	constructor(isReporting: boolean) {
		this.#isReporting = isReporting;
	}

	/** Places a request. Returns the number of its failed attempts before it reaches an engine. */
	serve({demand, host, now}: PlacedRequest): number {
		this.#load.removeExpired(now);
		const tried = new Set<string>();
		for (;;) {
			const {upstream, prefill, urgency} = place(demand, engines, model, this.#createOptions(host, tried, now))!;
			const chosen = upstream.id;
			if (!crashed.has(chosen)) {
				this.#load.begin({
					id: demand.id, host: `h${host}`, upstream: chosen, helpers: [], prompt: 5000, answer: 300, isHeld: false, read: prefill.total, readPerPass: prefill.perIteration,
					pause: 250, urgency, placing: 'first', weight: 2, began: now, due: demand.due, deadline: now + answerTimeMs - 500,
				}, now);
				return tried.size;
			}

			tried.add(chosen);
			this.#healths[host]!.record(chosen, 'unreachable', now);
			this.#reportAbsence(chosen, host, now);
		}
	}

	#createOptions(host: number, tried: ReadonlySet<string>, now: number): PlacementOptions {
		return {
			policy: defaultPolicy, load: this.#load, health: this.#healths[host]!, host: `h${host}`, failureDomain: 'a', unreachable: new Set(), findObstacle: findDeparture, eligibility: {excluded: tried}, now,
		};
	}

	#reportAbsence(upstream: string, host: number, now: number): void {
		const absence = createAbsence(upstream, 'refused', 'a', 'a');
		for (const [index, health] of this.#healths.entries()) {
			if (this.#isReporting && index !== host && appliesIn(absence, 'a', 'a') && !health.isBackedOff(upstream, now)) {
				health.record(upstream, absenceToVerdict('refused'), now);
			}
		}
	}
}

function simulate(isReporting: boolean): readonly number[] {
	const random = createRandom(7);
	const domain = new Domain(isReporting);
	return Array.from({length: requests}, (_, index) => {
		const now = 10_000 + (index * requestIntervalMs);
		return domain.serve({
			host: random.integer(0, hosts - 1),
			now,
			demand: {
				id: `r${index}`, service: 'm', kind: 'streaming', priority: 1, arrived: now, prompt: {tokens: 5000, answer: 300}, pause: 250, due: now + 400, deadline: now + 10_000,
			},
		});
	});
}

function total(counts: readonly number[]): number {
	return counts.reduce((sum, count) => sum + count, 0);
}

it('a crashed engine costs the callers of 200 hosts an attempt or two, not one per host', () => {
	expect(total(simulate(true))).toBeLessThanOrEqual(2 * crashed.size);
	expect(total(simulate(false))).toBeGreaterThan(10 * crashed.size);
});

describe('an upstream that a host finds absent', () => {
	it.each([
		['refused', 'a', 'a', true],
		['refused', 'b', 'a', false],
		['silent', 'b', 'a', false],
		['silent', undefined, 'a', false],
		['replaced', 'b', 'a', true],
	] as const)('%s in domain %s, found from domain %s: applies in all domains: %s', (reason, upstream, host, isForAll) => {
		const absence = createAbsence('e1', reason, upstream, host);
		expect(absence.isForAll).toBe(isForAll);
		expect([appliesIn(absence, host, host), appliesIn(absence, host, 'c')]).toEqual([true, isForAll]);
	});
});
