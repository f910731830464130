import {expect, it} from 'vitest';
import {Acquaintances} from '../acquaintances.js';
import {type Host} from '../messages.js';

function host(port: number, name = `host-${port}`): Host {
	return {
		name, failureDomain: 'a', address: {host: 'h', port}, started: 1,
	};
}

it('counts the hosts whose names are known, through meeting, reviving and forgetting', () => {
	const all = new Acquaintances(host(1), 0);
	const count = () => [all.knownCount, all.known.length];
	all.meet({host: 'h', port: 2}, undefined, 0);
	all.meet({host: 'h', port: 1}, host(1), 0);
	expect(count()).toEqual([0, 0]);
	all.meet({host: 'h', port: 2}, host(2), 0);
	all.meet({host: 'h', port: 2}, host(2), 0);
	all.revive(host(3), 0);
	all.revive(host(3, 'host-3-anew'), 0);
	all.meet({host: 'h', port: 4}, undefined, 0);
	expect(count()).toEqual([2, 2]);
	for (const [, each] of all.all) {
		all.forget(each, 70_000);
		all.forget(each, 70_000);
	}

	expect(count()).toEqual([0, 0]);
});
