#!/usr/bin/env node
/**
 * Compares placement strategies over many seeds: `npm run bench:gateway -- --seeds 20`, or over loads with a plot:
 * `--loads 0.6,1,1.4 --plot FILE`. `--silent all` draws silences of the engines and counts the answers that aren't whole.
 */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {Command, InvalidArgumentError, Option} from 'commander';
import {
	isMechanism, mechanisms, policyWithout, defaultPolicy, type Mechanism,
} from '../../src/core/gateway/placement/policy.js';
import {renderPlot} from './plots.js';
import {countAnswers, isInTime, computeServedShare} from './results.js';
import {
	Simulation, type PlacementStrategy, type Result, type SimulationOptions, type SuccessionRule,
} from './simulation.js';
import {drawSilences, type SilenceScope} from './silences.js';
import {
	burstPhases, deskKinds, deskModel, deskPhases, generateArrivals, newsroomKinds, replicaModel, type Workload,
} from './workload.js';

const strategies: readonly PlacementStrategy[] = ['product', 'omniscient', 'least-requests', 'fixed-border'];

/** The second period of a simulation, without arrivals, lasts at least until the last deadline. */
const drainPeriodMs = 16_000;

const scopes: readonly SilenceScope[] = ['one', 'some', 'all'];
const successionRules: readonly SuccessionRule[] = ['secured', 'given up first'];

/** When the first silence of the engines begins, in milliseconds. */
const firstSilenceMs = 3000;

const noRetries = {ratio: 0, window: 10_000, allowance: 0};

const sites = {
	newsroom: {
		model: replicaModel, kinds: newsroomKinds, phases: burstPhases, arrivalPeriod: 32_000,
	},
	desk: {
		model: deskModel, kinds: deskKinds, phases: deskPhases, arrivalPeriod: 92_000,
	},
} as const;

/** Time from the start of a burst, in milliseconds, in which the engines still serve the prompts of the burst before. */
const returnPeriodMs = 3000;

type BenchOptions = {
	readonly site: keyof typeof sites;
	readonly seeds: number;
	readonly engines: number;
	readonly hosts: number;
	readonly news: number;
	readonly loads: readonly number[];
	readonly policy?: string;
	readonly plot?: string;
	readonly without: readonly Mechanism[];
	readonly silent?: SilenceScope;
	readonly death: boolean;
	readonly budget: boolean;
	readonly succession: SuccessionRule;
};

type Row = {
	readonly name: string;
	readonly asked: number;
	readonly inTime: number;
	readonly lateFirst: number;
	readonly latePause: number;
	readonly refused: number;
	readonly unfinished: number;
	readonly servedShare: number;
};

function summarize(name: string, results: readonly Result[]): Row {
	const count = (test: (result: Result) => boolean) => results.filter(result => test(result)).length;
	return {
		name,
		asked: results.length,
		inTime: count(isInTime),
		lateFirst: count(({firstEvent, arrival}) => firstEvent !== undefined && firstEvent > arrival.kind.objective),
		latePause: count(({longestPause, arrival}) => longestPause > arrival.kind.pause),
		refused: count(result => result.isRefused),
		unfinished: count(result => !result.isRefused && !result.isDone),
		servedShare: computeServedShare(results),
	};
}

function parsePositive(text: string): number {
	const value = Number(text);
	if (!Number.isFinite(value) || value <= 0) {
		throw new InvalidArgumentError('Must be a positive number.');
	}

	return value;
}

function parsePositives(text: string): readonly number[] {
	return text.split(',').map(each => parsePositive(each));
}

function parseMechanisms(text: string): readonly Mechanism[] {
	const names = text.split(',');
	if (names.every(name => isMechanism(name))) {
		return names;
	}

	throw new InvalidArgumentError(`Must be a list of these mechanisms: ${mechanisms.join(', ')}.`);
}

/** Returns the silences of a seed, and what hosts do about them. */
function createSilenceOptions({
	site, engines, silent, death, budget, succession,
}: BenchOptions, seed: number): Partial<SimulationOptions> {
	const silences = silent === undefined
		? undefined
		: drawSilences({
			engines, scope: silent, from: firstSilenceMs, until: sites[site].arrivalPeriod, hasDeath: death,
		}, seed);
	return {silences, succession, retries: budget ? undefined : noRetries};
}

function simulate(options: BenchOptions, load: number, strategy: PlacementStrategy): readonly Result[] {
	const {
		site, seeds, engines, hosts, news, without,
	} = options;
	const {model, kinds, phases, arrivalPeriod} = sites[site];
	const workload: Workload = {
		kinds: kinds.map(kind => ({...kind, rate: kind.rate * load})), phases, length: arrivalPeriod, hosts,
	};
	const simulationOptions = {
		model, hosts, engines, strategy, updateDelay: news, policy: policyWithout(defaultPolicy, without),
	};
	return Array.from({length: seeds}, (_, index) => {
		const simulation = new Simulation({...simulationOptions, ...createSilenceOptions(options, index + 1)});
		return simulation.run(generateArrivals(workload, index + 1), arrivalPeriod + drainPeriodMs);
	}).flat();
}

/** Returns whether a request arrived as the demand for its kind had just risen. */
function isReturning({arrival: {at, kind}}: Result, {phases, kinds}: Pick<Workload, 'kinds' | 'phases'>): boolean {
	const current = phases.findLastIndex(phase => phase.at <= at);
	const [before, phase] = [phases[current - 1], phases[current]];
	const index = kinds.findIndex(({name}) => name === kind.name);
	return before !== undefined && phase !== undefined && phase.factors[index]! > before.factors[index]! && at - phase.at < returnPeriodMs;
}

function printResults(title: string, results: readonly Result[], site: BenchOptions['site']): void {
	const rows = [summarize('all', results), ...sites[site].kinds.flatMap(({name}) => {
		const ofKind = results.filter(({arrival}) => arrival.kind.name === name);
		return [summarize(name, ofKind), summarize(`${name}, return`, ofKind.filter(result => isReturning(result, sites[site])))];
	})];
	process.stdout.write(`${title}\n`);
	for (const row of rows) {
		const late = `first late ${row.lateFirst}  pause late ${row.latePause}`;
		const lost = `refused ${row.refused}  unfinished ${row.unfinished}`;
		process.stdout.write(`  ${row.name.padEnd(16)} asked ${row.asked}  in time ${(row.inTime / row.asked).toFixed(3)}  ${late}  ${lost}  worth ${row.servedShare.toFixed(3)}\n`);
	}
}

function printAnswers(results: readonly Result[]): void {
	const {
		begun, brokenOff, enginesUsedUp, lateSuccessor, sentAgain,
	} = countAnswers(results);
	process.stdout.write(`  answers begun ${begun}  broken off ${brokenOff}  engines used up ${enginesUsedUp}  late successor ${lateSuccessor}  sent again ${sentAgain}\n`);
}

function compareStrategies(options: BenchOptions): void {
	const selected = strategies.filter(name => options.policy === undefined || name === options.policy);
	const series = selected.map(name => ({
		name,
		points: options.loads.map((load): readonly [number, number] => {
			const results = simulate(options, load, name);
			printResults(options.loads.length === 1 ? name : `${name}, load ${load}`, results, options.site);
			if (options.silent !== undefined) {
				printAnswers(results);
			}

			return [load, computeServedShare(results)];
		}),
	}));
	if (options.plot !== undefined) {
		const title = `${options.hosts} hosts, ${options.engines} engines, news ${options.news} ms old, ${options.seeds} seeds`;
		writeFileSync(options.plot, renderPlot({
			title, x: 'load (1: the bursts of a calm day)', y: 'worth served', series,
		}));
	}
}

const command = new Command('bench-gateway')
	.description('Simulates gateways and model engines in virtual time and compares placement policies.')
	.addOption(new Option('--site <name>', 'models, requests and bursts').choices(Object.keys(sites)).default('newsroom'))
	.option('--seeds <n>', 'number of seeds', parsePositive, 10)
	.option('--engines <n>', 'engines', parsePositive, 23)
	.option('--hosts <n>', 'hosts', parsePositive, 6)
	.option('--news <ms>', 'milliseconds that load updates take between hosts', parsePositive, 6)
	.option('--loads <x,...>', 'factors of the request rates, each simulated in turn', parsePositives, [1])
	.option('--policy <name>', 'only this policy')
	.option('--without <mechanism,...>', `the product's decisions without: ${mechanisms.join(', ')}`, parseMechanisms, [])
	.addOption(new Option('--silent <scope>', 'engines that are silent for about a second, in series').choices(scopes))
	.option('--death', 'one of these never sends anything again', false)
	.option('--no-budget', 'the retry budget is spent')
	.addOption(new Option('--succession <rule>', 'what hosts do with answers of silent engines').choices(successionRules).default('secured'))
	.option('--plot <file>', 'write the served share by load as an SVG plot')
	.action((options: BenchOptions) => {
		compareStrategies(options);
	});

await command.parseAsync();
