/** Short runs of the fuzz in virtual time: bad parts, crashes without cause, broken links, hosts that are cut off or restarted, releases. */
import {expect, it} from 'vitest';
import {runCrashes} from '../run.js';

it.each(Array.from({length: 12}, (_, index) => index + 1))('parts that crash engines are kept from them, and sound requests served (seed %i)', seed => {
	const {broken, crashes, soundShare} = runCrashes({seed});
	expect(broken).toEqual([]);
	expect(crashes).toBeGreaterThan(3);
	expect(soundShare).toBeGreaterThan(0.95);
});

it('a fleet of 340 hosts comes to the same conclusions', () => {
	const {broken, byPart} = runCrashes({seed: 8, hosts: 340, length: 15_000});
	expect(broken).toEqual([]);
	expect(Math.max(...Object.values(byPart))).toBeLessThanOrEqual(6);
}, 60_000);
