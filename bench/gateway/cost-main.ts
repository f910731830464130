#!/usr/bin/env node
/**
 * Measures the processor time that log lines and metrics of requests cost a host: `npm run bench:cost -- --tell all > /dev/null`.
 * The log goes to standard output, like a host's; the results go to standard error.
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Command, Option} from 'commander';
import {build} from 'hdr-histogram-js';
import {Log} from '../../src/entry/logs.js';
import {GatewayMetrics} from '../../src/gateway/metrics.js';
import {parsePositiveInteger} from '../options.js';

const kinds = ['none', 'log', 'metrics', 'all'] as const;

type CostOptions = {
	readonly tell: typeof kinds[number];
	readonly rate: number;
	readonly seconds: number;
};

/** Interval between the batches in which due requests are recorded. */
const batchIntervalMs = 10;

const nanosecondsPerMicrosecond = 1000n;

/** Writes the three log lines of a request as a host does. */
function writeLogLines(log: Log, index: number): void {
	const request = `request-${index}`;
	const attempt = `host-1.mq81fl58.${index}`;
	log.write({
		event: 'placed', request, attempt, upstream: 'i-f3d23547ef', helpers: ['i-be94dafb5a', 'i-07eac894bb'], tokens: 120_000, predicted: 845, loss: 0.066, jobs: 264, left: 14_705, version: 31, confirmedAge: 711,
	});
	log.write({
		event: 'attempt-ended', request, attempt, upstream: 'i-f3d23547ef', ending: 'answered', status: 200,
	});
	log.write({
		event: 'ended', request, outcome: 'answered', route: 'archive-audit', attempts: 1, firstByte: 900, longestPause: 46, took: 1500, version: 31, confirmedAge: 812,
	});
}

function recordMetrics(metrics: GatewayMetrics, index: number): void {
	const labels = {service: 'model', length: index % 3 === 0 ? 'long' : 'short'};
	metrics.attempts.inc({service: 'model', ending: 'answered'});
	metrics.requests.inc({...labels, kind: 'streaming', outcome: 'answered'});
	metrics.firstByte.observe(labels, 100 + (index % 1000));
	metrics.total.observe(labels, 900 + (index % 1000));
}

async function measure({tell, rate, seconds}: CostOptions): Promise<void> {
	const log = new Log('host-1');
	const metrics = new GatewayMetrics();
	const times = build({lowestDiscernibleValue: 1, highestTrackableValue: 10_000_000, numberOfSignificantValueDigits: 3});
	const requests = rate * seconds;
	const before = process.cpuUsage();
	const began = performance.now();
	for (let index = 0; index < requests;) {
		const due = Math.min(Math.floor((performance.now() - began) * rate / 1000), requests);
		for (; index < due; index++) {
			const start = process.hrtime.bigint();
			if (tell === 'log' || tell === 'all') {
				writeLogLines(log, index);
			}

			if (tell === 'metrics' || tell === 'all') {
				recordMetrics(metrics, index);
			}

			times.recordValue(Number((process.hrtime.bigint() - start) / (nanosecondsPerMicrosecond / 10n)));
		}

		await sleep(batchIntervalMs);
	}

	const {user, system} = process.cpuUsage(before);
	const cpuShare = (user + system) / 1000 / (performance.now() - began);
	const page = process.cpuUsage();
	const text = await metrics.text();
	const rendered = process.cpuUsage(page);
	const figure = (percentile: number) => (times.getValueAtPercentile(percentile) / 10).toFixed(1);
	process.stderr.write(`${tell}: ${rate} requests/s, ${seconds} s: ${(cpuShare * 100).toFixed(2)}% of a core, rss ${(process.memoryUsage().rss / 1_000_000).toFixed(1)} MB; `
		+ `a request p50 ${figure(50)}, p99 ${figure(99)}, most ${figure(100)} us; `
		+ `page of ${text.length} bytes in ${((rendered.user + rendered.system) / 1000).toFixed(1)} ms; dropped ${log.dropped}\n`);
}

const command = new Command('bench-cost')
	.description('Measures the cost of the log lines and metrics of requests.')
	.addOption(new Option('--tell <what>', 'what to record for each request').choices(kinds).default('all'))
	.option('--rate <n>', 'requests per second', parsePositiveInteger, 100)
	.option('--seconds <n>', 'duration in seconds', parsePositiveInteger, 10)
	.action(async (options: CostOptions) => measure(options));

await command.parseAsync();
