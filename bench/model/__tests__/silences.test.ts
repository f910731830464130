/** Engines that send nothing for a while, with changes of the configuration meanwhile, in the model of the core. */
import {expect, it} from 'vitest';
import {type SilenceScope} from '../../gateway/silences.js';
import {runScenario} from '../scenarios.js';

const scopes: readonly SilenceScope[] = ['one', 'some', 'all'];

// Guards against answers that are given up since their engine is silent, or since the configuration has changed.
it.each(scopes.flatMap(scope => [1, 2, 3].map(seed => [scope, seed] as const)))('each answer that began ends whole (%s silent, seed %i)', {timeout: 60_000}, (silent, seed) => {
	const {results} = runScenario({
		policy: 'cost', seed, load: 0.5, duration: 20_000, silent,
	});
	const begun = results.filter(({firstToken}) => firstToken !== undefined);
	expect(begun.length).toBeGreaterThan(20);
	expect(begun.filter(({outcome}) => outcome?.type !== 'done')).toEqual([]);
});
