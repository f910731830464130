/** The engine's routes, as src/upstream/protocol.ts describes them. */
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {performance} from 'node:perf_hooks';
import {
	exportSchema, holdWantedSchema, orderSchema, segmentSchema,
} from '../../src/upstream/protocol.js';
import {
	answerError, answerJson, readText, type Answer, type Call, type Server,
} from '../common/server.js';
import {type Attempt} from './attempt.js';
import {type Refusal} from './engine.js';
import {type EngineHost} from './host.js';
import {readRun, wantedSchema} from './run.js';
import {StreamSubscriber, WholeSubscriber} from './subscriber.js';

const pollInterval = 10;
const longestWait = 60_000;

function isRefusal(outcome: Attempt | Refusal): outcome is Refusal {
	return 'type' in outcome;
}

/** Runs a request unless a fault refuses it. */
function chat(host: EngineHost): Answer {
	return async call => {
		const body = await readText(call.incoming);
		const status = host.faults.takeRefusal();
		if (status !== undefined) {
			host.log.count('refused');
			answerError(call.outgoing, status, 'refused', 'refused on demand');
			return;
		}

		const {run, isStream} = readRun(call.incoming, body, host);
		const outcome = host.engine.run(run);
		if (isRefusal(outcome)) {
			host.log.count('refused');
			answerError(call.outgoing, outcome.status, outcome.type, outcome.message);
			return;
		}

		await outcome.follow(isStream
			? new StreamSubscriber(call.outgoing, 0, host.faults)
			: new WholeSubscriber(call.outgoing));
	};
}

function resume(host: EngineHost): Answer {
	return async ({outgoing, parameters, query}) => {
		const attempt = host.engine.attempt(parameters.attempt!);
		if (attempt === undefined || attempt.status === 'cancelled' || attempt.status === 'exported') {
			answerError(outgoing, 404, 'unknown-attempt', 'the attempt is not here');
			return;
		}

		await attempt.follow(new StreamSubscriber(outgoing, Number(query.get('offset') ?? 0), host.faults));
	};
}

/** Waits for the first visible change, up to the time that the caller gives. */
function cacheEvents(host: EngineHost): Answer {
	return async ({outgoing, query}) => {
		const since = Number(query.get('since') ?? 0);
		const end = performance.now() + Math.min(Number(query.get('wait') ?? 0), longestWait);
		let events = host.engine.cacheEvents.read(since, performance.now());
		while (events.changes.length === 0 && performance.now() < end && !outgoing.destroyed) {
			await sleep(pollInterval);
			events = host.engine.cacheEvents.read(since, performance.now());
		}

		answerJson(outgoing, 200, events);
	};
}

function takeHold(host: EngineHost): Answer {
	return async ({incoming, outgoing, parameters}) => {
		const wanted = holdWantedSchema.parse(JSON.parse(await readText(incoming)));
		const isHeld = host.engine.hold(parameters.hold!, wanted);
		if (isHeld) {
			answerJson(outgoing, 201, {hold: parameters.hold, tokens: wanted.tokens});
		} else {
			answerError(outgoing, 409, 'no-memory', 'the memory is in use');
		}
	};
}

function prefill(host: EngineHost): Answer {
	return async ({incoming, outgoing, parameters}) => {
		const work = segmentSchema.parse(JSON.parse(await readText(incoming)));
		const isDone = await host.engine.prefill(parameters.hold!, work);
		if (isDone) {
			answerJson(outgoing, 200, {hold: parameters.hold, tokens: work.to - work.from});
		} else {
			answerError(outgoing, 409, 'hold-gone', 'the hold is gone or too small');
		}
	};
}

function exportAttempt(host: EngineHost): Answer {
	return async ({outgoing, parameters}) => {
		const exported = host.engine.export(parameters.attempt!);
		if (exported === undefined) {
			answerError(outgoing, 404, 'unknown-attempt', 'the attempt does not run here');
			return;
		}

		await host.transfer(exported.prompt);
		answerJson(outgoing, 200, exported);
	};
}

function importAttempt(host: EngineHost): Answer {
	return async ({incoming, outgoing}) => {
		const exported = exportSchema.parse(JSON.parse(await readText(incoming)));
		const wanted = wantedSchema.parse(JSON.parse(Buffer.from(exported.cache, 'base64').toString('utf8')));
		await host.transfer(exported.prompt);
		const attempt = host.engine.import(exported, wanted);
		if (attempt === undefined) {
			answerError(outgoing, 409, 'no-memory', 'the memory is in use or the attempt is here');
			return;
		}

		await attempt.follow(new StreamSubscriber(outgoing, exported.offset, host.faults));
	};
}

function order(host: EngineHost): Answer {
	return async ({incoming, outgoing}) => {
		const {accepted, seen} = host.engine.orders.take(orderSchema.parse(JSON.parse(await readText(incoming))));
		answerJson(outgoing, accepted ? 200 : 409, {highest: seen});
	};
}

/** Lets hangs and delays come before every answer. */
function withFaults(host: EngineHost, answer: Answer): Answer {
	return async (call: Call) => {
		await host.faults.opened();
		if (host.faults.late > 0) {
			await sleep(host.faults.late);
		}

		await answer(call);
	};
}

/**
 * @param server - The engine's server.
 * @param host - The engine.
 */
export function addRoutes(server: Server, host: EngineHost): void {
	const add = (method: Parameters<Server['route']>[0], path: string, answer: Answer): void => {
		server.route(method, path, withFaults(host, answer));
	};

	add('post', '/v1/chat/completions', chat(host));
	add('get', '/v1/attempts/:attempt', resume(host));
	add('del', '/v1/attempts/:attempt', async ({outgoing, parameters}) => {
		host.engine.cancel(parameters.attempt!);
		answerJson(outgoing, 204);
	});
	add('get', '/v1/load', async ({outgoing}) => {
		answerJson(outgoing, 200, host.engine.load);
	});
	add('get', '/v1/cache-events', cacheEvents(host));
	add('get', '/v1/holds', async ({outgoing}) => {
		answerJson(outgoing, 200, host.engine.holds);
	});
	add('put', '/v1/holds/:hold', takeHold(host));
	add('del', '/v1/holds/:hold', async ({outgoing, parameters}) => {
		host.engine.release(parameters.hold!);
		answerJson(outgoing, 204);
	});
	add('post', '/v1/segments/:hold', prefill(host));
	add('post', '/v1/kv/export/:attempt', exportAttempt(host));
	add('post', '/v1/kv/import', importAttempt(host));
	add('post', '/v1/orders', order(host));
	add('get', '/v1/orders', async ({outgoing}) => {
		answerJson(outgoing, 200, host.engine.orders.state(host.engine.incarnation));
	});
}
