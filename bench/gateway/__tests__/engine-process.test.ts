/** Engines in processes of their own: signals stop and continue them, and their runs are known here. */
import {expect, it} from 'vitest';
import {Ledger} from '../../../stand-ins/gateway/ledger.js';
import {createPromptHeaders, parseEventIds, sendRequest} from '../caller-requests.js';
import {engineModel} from '../configuration.js';
import {EngineProcess} from '../engine-process.js';

const pauseMs = 600;

it('an engine that is stopped answers once it is continued, and reports the run', async () => {
	const ledger = new Ledger();
	await using engine = await EngineProcess.start({
		id: 'engine-0', service: 'model', failureDomain: 'a', slots: 8, model: engineModel,
	}, ledger);
	const [host = '', port] = String(engine.registration.Address).split(':');
	const began = performance.now();
	const paused = engine.pause(pauseMs);
	expect(engine.isPaused).toBe(true);
	const answer = await sendRequest({host, port: Number(port)}, {path: '/', id: 'r', headers: {...createPromptHeaders(1000, 3), 'X-Expect-Instance': engine.id}});
	await paused;
	expect([answer.isWhole, parseEventIds(answer)]).toEqual([true, [1, 2, 3]]);
	expect(answer.took).toBeGreaterThan(pauseMs - 100);
	await expect.poll(() => ledger.findRuns('r').map(({upstream}) => upstream)).toEqual(['engine-0']);
	expect(ledger.findRuns('r')[0]!.at).toBeGreaterThan(began);
	expect([engine.isPaused, engine.ending]).toEqual([false, undefined]);
});
