import {expect, it} from 'vitest';
import {Prospects} from '../health/prospects.js';

const upstreams = Array.from({length: 4}, (_, index) => ({id: `e${index}`, service: 's', failureDomain: 'a'}));
const other = {id: 'o', service: 's', failureDomain: 'b'};

it('a search is hopeless for a second after one that failed, and for the whole group after two, until one succeeds', () => {
	const prospects = new Prospects();
	const listHopeless = (now: number) => [...upstreams, other].filter(each => prospects.isHopeless(each, now)).map(({id}) => id);
	expect(listHopeless(0)).toEqual([]);
	prospects.record(upstreams[0]!, false, 0);
	expect(listHopeless(10)).toEqual(['e0']);
	prospects.record(upstreams[1]!, false, 500);
	expect(listHopeless(600)).toEqual(['e0', 'e1', 'e2', 'e3']);
	expect(listHopeless(1100)).toEqual(['e1']);
	expect(listHopeless(1600)).toEqual([]);
	prospects.record(upstreams[1]!, false, 1700);
	prospects.record(upstreams[2]!, false, 1700);
	expect(prospects.record(other, true, 1800)).toBe(false);
	expect(prospects.record(upstreams[3]!, true, 1800)).toBe(true);
	expect(listHopeless(1800)).toEqual([]);
});
