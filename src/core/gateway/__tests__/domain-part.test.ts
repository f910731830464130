/** Parts of failure domains that follow where callers arrive, and stay within the rate while domains don't see each other. */
import {expect, it} from 'vitest';
import {DomainPart} from '../limits/domain-part.js';

const domains = 3;
const intervalMs = 50;

/** Counts requests of the domains in turn, as one of them sees them. */
function count(parts: readonly DomainPart[], from: number, to: number, senderOf: (index: number) => number, isCut = false): void {
	for (let at = from, index = 0; at < to; at += intervalMs, index++) {
		const sender = senderOf(index);
		for (const [domain, part] of parts.entries()) {
			if (!isCut || domain === sender) {
				part.count(at, domain === sender);
			}
		}
	}
}

function createParts(): readonly DomainPart[] {
	return Array.from({length: domains}, () => new DomainPart());
}

function computeAll(parts: readonly DomainPart[]): readonly number[] {
	return parts.map(part => part.compute(domains));
}

it('are even, with room to grow, as long as nothing is known', () => {
	for (const part of computeAll(createParts())) {
		expect(part).toBeCloseTo(5 / 12);
	}
});

it('follow callers that arrive in one domain within three seconds, and leave the others room to begin', () => {
	const parts = createParts();
	count(parts, 0, 5000, index => index % domains);
	for (const part of computeAll(parts)) {
		expect(part).toBeCloseTo(5 / 12, 1);
	}

	count(parts, 5000, 8000, () => 0);
	const [crowded, ...others] = computeAll(parts);
	expect(crowded).toBeGreaterThan(0.7);
	expect(others.every(part => part >= 1 / 6)).toBe(true);
	count(parts, 8000, 12_000, () => 0);
	expect(computeAll(parts)[0]).toBeGreaterThan(0.95);
});

it('stay for a second where they were when domains stop seeing each other', () => {
	const parts = createParts();
	count(parts, 0, 5000, index => index % domains);
	const before = computeAll(parts);
	count(parts, 5000, 5950, index => index % domains, true);
	expect(computeAll(parts).reduce((sum, part) => sum + part)).toBeLessThan(1.4);
	expect(before.reduce((sum, part) => sum + part)).toBeLessThan(1.3);
});
