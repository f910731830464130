import {describe, expect, it} from 'vitest';
import {parseLog} from '../log-lines.js';
import {createLossReport} from '../losses/causes.js';
import {runCommand} from './fakes.js';

type Fields = Readonly<Record<string, unknown>>;

function line(at: number, event: string, fields: Fields): string {
	return JSON.stringify({
		time: new Date(1_800_000_000_000 + at).toISOString(), level: 'info', host: 'host-1', event, ...fields,
	});
}

function placed(at: number, request: string, change: Fields = {}): string {
	return line(at, 'placed', {
		request, attempt: `${request}.${at}`, upstream: 'e1', helpers: [], tokens: 5000, predicted: 100, loss: 0.1, weight: 2, jobs: 3, left: 9000, confirmedAge: 10, ...change,
	});
}

function attempt(at: number, request: string, ending: string, reason?: string): string {
	return line(at, 'attempt-ended', {
		request, attempt: `${request}.${at}`, upstream: 'e1', ending, reason,
	});
}

function ended(at: number, request: string, change: Fields = {}): string {
	return line(at, 'ended', {
		request, outcome: 'answered', route: 'ask', attempts: 1, firstByte: 120, longestPause: 60, silentFor: 0, objective: 300, pause: 250, took: 900, ...change,
	});
}

function causes(...lines: readonly string[]): ReadonlyArray<readonly [string, string, number]> {
	return createLossReport(parseLog(lines.join('\n'))).losses.map(({request, cause, lost}) => [request, cause, lost]);
}

describe('a late first event is attributed to', () => {
	it('load if it was predicted, otherwise to the prediction', () => {
		expect(causes(placed(0, 'a', {predicted: 500}), ended(900, 'a', {firstByte: 480}))).toEqual([['a', 'all engines busy', 1.5]]);
		expect(causes(placed(0, 'a'), ended(900, 'a', {firstByte: 480}))).toEqual([['a', 'slower than predicted', 1.5]]);
	});

	it('the end of the first attempt if there was another', () => {
		for (const [ending, reason, cause] of [
			['cancelled', 'silent', 'new attempt'], ['cancelled', 'moved', 'moved'], ['not-run', 'no connection in time', 'no connection'], ['not-run', 'refused with 503 by e1', 'new attempt'],
		] as const) {
			expect(causes(placed(0, 'a'), attempt(400, 'a', ending, reason), placed(400, 'a'), ended(900, 'a', {firstByte: 480, attempts: 2}))).toEqual([['a', cause, 1.5]]);
		}
	});
});

describe('a pause that is too long is attributed to', () => {
	it('a long prompt that arrived at the engine meanwhile', () => {
		expect(causes(placed(0, 'a'), placed(200, 'b', {upstream: 'e2', helpers: ['e1'], tokens: 90_000}), ended(900, 'a', {longestPause: 400}))).toEqual([['a', 'pause beside a long prompt', 1.5]]);
		expect(causes(placed(0, 'a'), placed(200, 'b', {upstream: 'e2', tokens: 90_000}), ended(900, 'a', {longestPause: 400}))).toEqual([['a', 'pause', 1.5]]);
	});

	it('its engine, and not to an attempt at another one that was outrun', () => {
		const lines = [placed(0, 'a'), placed(400, 'a'), attempt(500, 'a', 'cancelled', 'outrun'), attempt(900, 'a', 'answered'), ended(900, 'a', {longestPause: 400, attempts: 2})];
		expect(causes(...lines)).toEqual([['a', 'pause', 1.5]]);
	});

	it('an unreachable failure domain that was detected soon after', () => {
		expect(causes(placed(0, 'a'), ended(1500, 'a', {longestPause: 1200}), line(1900, 'domain-unreachable', {domain: 'b'}))).toEqual([['a', 'pause while a domain was out of reach', 1.5]]);
	});
});

it('a request that was not served is lost in full; a caller that left early is no loss', () => {
	expect(causes(placed(0, 'a'), ended(900, 'a', {outcome: 'refusedByUpstream'}))).toEqual([['a', 'refused', 2]]);
	const refused = line(0, 'not-placed', {
		request: 'a', upstream: 'e1', tokens: 90_000, predicted: 3000, loss: 40, weight: 8, returnAfter: 2000,
	});
	expect(causes(refused, ended(1, 'a', {outcome: 'overloaded', attempts: 0}))).toEqual([['a', 'refused', 8]]);
	expect(causes(placed(0, 'a'), ended(900, 'a', {outcome: 'caller left', silentFor: 2000}))).toEqual([['a', 'given up by the caller', 2]]);
	expect(causes(placed(0, 'a'), ended(900, 'a', {outcome: 'caller left', silentFor: 30}), placed(0, 'b'), ended(900, 'b'))).toEqual([]);
});

it('the command sums losses by cause and prompt length, and lists each with --each', async () => {
	const log = [placed(0, 'a', {predicted: 500}), ended(900, 'a', {firstByte: 480}), placed(10, 'b'), ended(900, 'b')].join('\n');
	const summed = await runCommand(['losses', '--logs', '-'], log);
	expect(summed.code).toBe(0);
	expect(summed.out).toMatch(/Lost 1\.5 of 4\.0 asked \(37\.5%\)\n.*\nall engines busy +short +1 +1\.5 +37\.5%/v);
	const named = await runCommand(['losses', '--logs', '-', '--each'], log);
	expect(named.out).toMatch(/a .*host-1 .*e1 .*all engines busy/v);
	const nothing = await runCommand(['losses', '--logs', '-'], 'nothing');
	expect(nothing.complaints).toContain('the log contains no requests');
});
