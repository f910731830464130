/** Retries that the hosts of a large fleet share. */
import {expect, it} from 'vitest';
import {RetryBudget, type RetryLimits} from '../retries.js';

const bounds: RetryLimits = {ratio: 0.2, window: 10_000, allowance: 460};
const domains = 5;
const perDomain = 39;
const sharers = {hosts: domains * perDomain, counted: perDomain};

/** The hosts of a failure domain, each of which knows at once what the others send. */
class Domain {
	readonly #hosts = Array.from({length: perDomain}, () => new RetryBudget(bounds));

	request(host: number, now: number): void {
		this.#hosts[host]!.countRequest('s', now);
		this.#tell(host, 'first', now);
	}

	/** Sends a request once more if the host may. */
	isRetried(host: number, now: number): boolean {
		if (!this.#hosts[host]!.allows('s', sharers, now)) {
			return false;
		}

		this.#hosts[host]!.countRetry('s', now);
		this.#tell(host, 'retry', now);
		return true;
	}

	#tell(host: number, placing: 'first' | 'retry', now: number): void {
		for (const [index, each] of this.#hosts.entries()) {
			if (index !== host) {
				each.hear('s', placing, now);
			}
		}
	}
}

it('three hosts whose requests fail repeat them though the part of one host is a retry or two', () => {
	const domain = new Domain();
	let retried = 0;
	for (let index = 0; index < 30; index++) {
		retried += domain.isRetried(index % 3, index) ? 1 : 0;
	}

	expect(retried).toBe(30);
});

it('hosts that all repeat as much as they may stay within the bounds of the fleet, in each failure domain by itself', () => {
	const domain = new Domain();
	let [requests, retried] = [0, 0];
	for (let now = 0; now < bounds.window; now += 20) {
		const host = (now / 20) % perDomain;
		domain.request(host, now);
		requests++;
		for (let tries = 0; tries < 5; tries++) {
			retried += domain.isRetried(host, now) ? 1 : 0;
		}
	}

	expect(retried).toBeLessThanOrEqual((bounds.allowance / domains) + (bounds.ratio * requests));
	expect(retried).toBeGreaterThan(0.5 * ((bounds.allowance / domains) + (bounds.ratio * requests)));
});

it('a host that knows of itself alone keeps to its own part', () => {
	const host = new RetryBudget(bounds);
	let retried = 0;
	while (host.allows('s', {hosts: sharers.hosts, counted: 1}, 0)) {
		host.countRetry('s', 0);
		retried++;
	}

	expect(retried).toBeLessThanOrEqual(bounds.allowance / sharers.hosts);
});

it('a request that reached no upstream at first is counted once', () => {
	const host = new RetryBudget({ratio: 1, window: 1000, allowance: 0});
	for (let index = 0; index < 10; index++) {
		host.hear('s', 'unreached before', 0);
	}

	expect(host.allows('s', {hosts: 2, counted: 2}, 0)).toBe(false);
});
