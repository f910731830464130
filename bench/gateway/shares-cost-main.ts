#!/usr/bin/env node
/** Measures what shares of organisations cost a host: `npm run build && node dist/bench/gateway/shares-cost-main.js`. */
import process from 'node:process';
import {Log} from '../../src/entry/logs.js';
import {Shares} from '../../src/core/gateway/limits/shares.js';
import {OrganisationShares} from '../../src/gateway/organisations/organisation-shares.js';
import {fromWireHistories, toWireHistories} from '../../src/gateway/organisations/share-messages.js';
import {encode} from '../../src/gateway/peers/messages.js';

const rounds = 9;
const operations = 200_000;
const microsecondsPerMs = 1000;

/** Interval between requests in milliseconds of the history: 100 a second. */
const intervalMs = 10;

/** Returns the median microseconds of an operation over the rounds, after one round that isn't counted. */
function measure(operation: (index: number) => void, count = operations): number {
	const times: number[] = [];
	for (let round = 0; round <= rounds; round++) {
		const began = performance.now();
		for (let index = 0; index < count; index++) {
			operation(index);
		}

		times.push((performance.now() - began) / count * microsecondsPerMs);
	}

	return times.slice(1).toSorted((a, b) => a - b)[Math.floor(rounds / 2)]!;
}

/** Counts requests of all organisations in turn; returns the time of the last one. */
function fill(shares: Shares, tags: readonly string[]): number {
	let now = 0;
	for (let index = 0; index < Math.max(tags.length, 1000); index++) {
		now += intervalMs;
		shares.count(tags[index % tags.length]!, 1, now);
	}

	return now;
}

function measureShares(organisations: number): void {
	const tags = Array.from({length: organisations}, (_, index) => `tag${index}`);
	for (const isFull of [false, true]) {
		const shares = new Shares();
		let now = fill(shares, tags);
		if (isFull) {
			shares.recordPressure(1e12);
		}

		const count = measure(index => {
			now += intervalMs;
			shares.count(tags[index % organisations]!, 1, now);
		});
		const decision = measure(index => {
			shares.findExcess(tags[index % organisations]!, now);
		});
		process.stdout.write(`${organisations} organisations, ${isFull ? 'full' : 'not full'}: count ${count.toFixed(2)} us, decision ${decision.toFixed(2)} us\n`);
	}

	const use = new OrganisationShares({
		log: new Log('host-1'), now: () => 10_000, findUpstream: () => undefined, countRequests: () => 0,
	});
	const known = new Shares();
	const now = fill(known, tags);
	use.learn({service: 'model', ...known.summarize(now)!});
	const frame = encode({type: 'load-told', ask: 0, shares: toWireHistories(use.histories)});
	const summary = measure(() => {
		toWireHistories(use.histories);
	}, 200);
	const full = toWireHistories([{service: 'model', ...known.summarize(now)!}]);
	const check = measure(() => {
		fromWireHistories(full);
	}, 200);
	process.stdout.write(`${organisations} organisations, history for a peer: ${frame.length} bytes, ${summary.toFixed(0)} us to summarize, ${check.toFixed(0)} us to check\n`);
}

for (const organisations of [24, 8192]) {
	measureShares(organisations);
}
