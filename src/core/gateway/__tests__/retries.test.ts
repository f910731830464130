/** The retry budget that the hosts of a large fleet share. */
import {expect, it} from 'vitest';
import {RetryBudget, type RetryLimits} from '../limits/retries.js';

const bounds: RetryLimits = {ratio: 0.2, window: 10_000, allowance: 460};
const domains = 5;
const perDomain = 39;
const share = {hosts: domains * perDomain, counted: perDomain};

/** The hosts of a failure domain, which receive load updates of each other without delay. */
class Domain {
	readonly #hosts = Array.from({length: perDomain}, () => new RetryBudget(bounds));

	sendRequest(host: number, now: number): void {
		this.#hosts[host]!.countRequest('s', now);
		this.#broadcast(host, 'first', now);
	}

	/** Retries a request if the budget of the host allows it. Returns whether it does. */
	retry(host: number, now: number): boolean {
		if (!this.#hosts[host]!.allowsRetry('s', share, now)) {
			return false;
		}

		this.#hosts[host]!.countRetry('s', now);
		this.#broadcast(host, 'retry', now);
		return true;
	}

	#broadcast(host: number, kind: 'first' | 'retry', now: number): void {
		for (const [index, each] of this.#hosts.entries()) {
			if (index !== host) {
				each.countPeerPlacement('s', kind, now);
			}
		}
	}
}

it('three hosts whose requests fail can retry them, though the part of one host is a retry or two', () => {
	const domain = new Domain();
	let retried = 0;
	for (let index = 0; index < 30; index++) {
		retried += domain.retry(index % 3, index) ? 1 : 0;
	}

	expect(retried).toBe(30);
});

it('hosts that all use their budget stay within the limits of the fleet, in each failure domain separately', () => {
	const domain = new Domain();
	let [requests, retried] = [0, 0];
	for (let now = 0; now < bounds.window; now += 20) {
		const host = (now / 20) % perDomain;
		domain.sendRequest(host, now);
		requests++;
		for (let attempt = 0; attempt < 5; attempt++) {
			retried += domain.retry(host, now) ? 1 : 0;
		}
	}

	expect(retried).toBeLessThanOrEqual((bounds.allowance / domains) + (bounds.ratio * requests));
	expect(retried).toBeGreaterThan(0.5 * ((bounds.allowance / domains) + (bounds.ratio * requests)));
});

it('a host without known peers uses only its own part', () => {
	const host = new RetryBudget(bounds);
	let retried = 0;
	while (host.allowsRetry('s', {hosts: share.hosts, counted: 1}, 0)) {
		host.countRetry('s', 0);
		retried++;
	}

	expect(retried).toBeLessThanOrEqual(bounds.allowance / share.hosts);
});

it('a request that reached no upstream at first is not counted again', () => {
	const host = new RetryBudget({ratio: 1, window: 1000, allowance: 0});
	for (let index = 0; index < 10; index++) {
		host.countPeerPlacement('s', 'unreached before', 0);
	}

	expect(host.allowsRetry('s', {hosts: 2, counted: 2}, 0)).toBe(false);
});
