/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- The hosts have only the members that these tests use. */
import {expect, it} from 'vitest';
import {type Host} from '../../peers/messages.js';
import {Introductions} from '../introductions.js';

function createHosts(count: number): readonly Host[] {
	return Array.from({length: count}, (_, index) => ({name: `h${index}`, failureDomain: 'a'}) as unknown as Host);
}

/** Introductions in a fleet in which hosts answer a dial at once, as `isUseful` says. */
function create(count: number) {
	const dialled: string[] = [];
	const released: string[] = [];
	const clock = {now: 0};
	const hosts = createHosts(count);
	const introductions = new Introductions({
		now: () => clock.now,
		listHosts: () => hosts,
		rank: candidates => candidates,
		dial(host) {
			dialled.push(host.name);
		},
		release(host) {
			released.push(host);
		},
	});
	return {
		introductions, dialled, released, clock,
	};
}

const nobody = new Set<string>();

it('dials four hosts at once, others as these have answered, and each at most once in a second', () => {
	const {introductions, dialled, clock} = create(6);
	expect(introductions.request(nobody)).toBe(true);
	expect(introductions.request(nobody)).toBe(true);
	expect(dialled).toEqual(['h0', 'h1', 'h2', 'h3']);
	for (const host of ['h0', 'h1', 'h2', 'h3']) {
		introductions.recordClosed(host);
	}

	introductions.request(nobody);
	introductions.recordClosed('h4');
	introductions.recordClosed('h5');
	expect(introductions.request(nobody)).toBe(false);
	expect(dialled).toEqual(['h0', 'h1', 'h2', 'h3', 'h4', 'h5']);
	clock.now = 1100;
	expect(introductions.request(nobody)).toBe(true);
	expect(dialled).toHaveLength(10);
});

it('lets hosts go that are of no use, keeps 16 others at most, and passes over those that were asked', () => {
	const {introductions, dialled, released} = create(60);
	const asked = new Set(['h0']);
	for (let round = 0; round < 30; round++) {
		introductions.request(asked);
		for (const host of dialled.slice(-4)) {
			introductions.recordOffer(host, Number(host.slice(1)) % 2 === 0);
		}
	}

	expect(dialled).not.toContain('h0');
	expect(introductions.size).toBe(16);
	expect(released.every(host => Number(host.slice(1)) % 2 === 1)).toBe(true);
	introductions.releaseAll();
	expect(introductions.size).toBe(0);
});

it('takes no offer of a linked host for one that was asked for', () => {
	const {introductions, released} = create(3);
	introductions.recordOffer('relay', false);
	introductions.recordOffer('relay', true);
	expect([introductions.size, released]).toEqual([0, []]);
});
