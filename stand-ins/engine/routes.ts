/** HTTP routes of an engine, as described in src/upstream/protocol.ts. */
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {performance} from 'node:perf_hooks';
import {
	exportSchema, holdRequestSchema, orderSchema, segmentRequestSchema,
} from '../../src/upstream/protocol.js';
import {
	sendError, sendJson, readText, type RouteHandler, type Call, type Server,
} from '../common/server.js';
import {type Attempt} from './attempt.js';
import {type Refusal} from './engine.js';
import {type EngineHost} from './host.js';
import {parseChatRequest, taskSchema} from './chat-request.js';
import {StreamSubscriber, JsonSubscriber} from './subscriber.js';

const pollIntervalMs = 10;
const maxWaitMs = 60_000;

function isRefusal(outcome: Attempt | Refusal): outcome is Refusal {
	return 'type' in outcome;
}

/** Runs a chat request, unless a fault or the engine refuses it. */
function createChatHandler(host: EngineHost): RouteHandler {
	return async call => {
		const body = await readText(call.incoming);
		const status = host.faults.takeRefusal();
		if (status !== undefined) {
			host.log.count('refused');
			sendError(call.outgoing, status, 'refused', 'refused on demand');
			return;
		}

		const {run, isStream} = parseChatRequest(call.incoming, body, host);
		const outcome = host.engine.run(run);
		if (isRefusal(outcome)) {
			host.log.count('refused');
			sendError(call.outgoing, outcome.status, outcome.type, outcome.message);
			return;
		}

		await outcome.subscribe(isStream
			? new StreamSubscriber(call.outgoing, 0, host.faults)
			: new JsonSubscriber(call.outgoing));
	};
}

function createResumeHandler(host: EngineHost): RouteHandler {
	return async ({outgoing, parameters, query}) => {
		const attempt = host.engine.attempt(parameters.attempt!);
		if (attempt === undefined || attempt.status === 'cancelled' || attempt.status === 'exported') {
			sendError(outgoing, 404, 'unknown-attempt', 'the attempt is not here');
			return;
		}

		await attempt.subscribe(new StreamSubscriber(outgoing, Number(query.get('offset') ?? 0), host.faults));
	};
}

/** Long poll: waits until a change is visible, at most for the time in the `wait` parameter. */
function createCacheEventsHandler(host: EngineHost): RouteHandler {
	return async ({outgoing, query}) => {
		const since = Number(query.get('since') ?? 0);
		const deadline = performance.now() + Math.min(Number(query.get('wait') ?? 0), maxWaitMs);
		let events = host.engine.cacheEvents.read(since, performance.now());
		while (events.changes.length === 0 && performance.now() < deadline && !outgoing.destroyed) {
			await sleep(pollIntervalMs);
			events = host.engine.cacheEvents.read(since, performance.now());
		}

		sendJson(outgoing, 200, events);
	};
}

function createHoldHandler(host: EngineHost): RouteHandler {
	return async ({incoming, outgoing, parameters}) => {
		const request = holdRequestSchema.parse(JSON.parse(await readText(incoming)));
		const isHeld = host.engine.hold(parameters.hold!, request);
		if (isHeld) {
			sendJson(outgoing, 201, {hold: parameters.hold, tokens: request.tokens});
		} else {
			sendError(outgoing, 409, 'no-memory', 'the memory is in use');
		}
	};
}

function createPrefillHandler(host: EngineHost): RouteHandler {
	return async ({incoming, outgoing, parameters}) => {
		const work = segmentRequestSchema.parse(JSON.parse(await readText(incoming)));
		const isDone = await host.engine.prefill(parameters.hold!, work);
		if (isDone) {
			sendJson(outgoing, 200, {hold: parameters.hold, tokens: work.to - work.from});
		} else {
			sendError(outgoing, 409, 'hold-gone', 'the hold is gone or too small');
		}
	};
}

function createExportHandler(host: EngineHost): RouteHandler {
	return async ({outgoing, parameters}) => {
		const exported = host.engine.export(parameters.attempt!);
		if (exported === undefined) {
			sendError(outgoing, 404, 'unknown-attempt', 'the attempt does not run here');
			return;
		}

		await host.simulateTransfer(exported.prompt);
		sendJson(outgoing, 200, exported);
	};
}

function createImportHandler(host: EngineHost): RouteHandler {
	return async ({incoming, outgoing}) => {
		const exported = exportSchema.parse(JSON.parse(await readText(incoming)));
		const task = taskSchema.parse(JSON.parse(Buffer.from(exported.cache, 'base64').toString('utf8')));
		await host.simulateTransfer(exported.prompt);
		const attempt = host.engine.import(exported, task);
		if (attempt === undefined) {
			sendError(outgoing, 409, 'no-memory', 'the memory is in use or the attempt is here');
			return;
		}

		await attempt.subscribe(new StreamSubscriber(outgoing, exported.offset, host.faults));
	};
}

function createOrderHandler(host: EngineHost): RouteHandler {
	return async ({incoming, outgoing}) => {
		const {accepted, highest} = host.engine.orders.apply(orderSchema.parse(JSON.parse(await readText(incoming))));
		sendJson(outgoing, accepted ? 200 : 409, {highest});
	};
}

/** Applies `hang` and `late` faults before a route is handled. */
function withFaults(host: EngineHost, handler: RouteHandler): RouteHandler {
	return async (call: Call) => {
		await host.faults.waitWhileHanging();
		if (host.faults.late > 0) {
			await sleep(host.faults.late);
		}

		await handler(call);
	};
}

/** Adds the routes of an engine to its server. */
export function addRoutes(server: Server, host: EngineHost): void {
	const add = (method: Parameters<Server['route']>[0], path: string, handler: RouteHandler): void => {
		server.route(method, path, withFaults(host, handler));
	};

	add('post', '/v1/chat/completions', createChatHandler(host));
	add('get', '/v1/attempts/:attempt', createResumeHandler(host));
	add('del', '/v1/attempts/:attempt', async ({outgoing, parameters}) => {
		host.engine.cancel(parameters.attempt!);
		sendJson(outgoing, 204);
	});
	add('get', '/v1/load', async ({outgoing}) => {
		sendJson(outgoing, 200, host.engine.load);
	});
	add('get', '/v1/cache-events', createCacheEventsHandler(host));
	add('get', '/v1/holds', async ({outgoing}) => {
		sendJson(outgoing, 200, host.engine.holds);
	});
	add('put', '/v1/holds/:hold', createHoldHandler(host));
	add('del', '/v1/holds/:hold', async ({outgoing, parameters}) => {
		host.engine.release(parameters.hold!);
		sendJson(outgoing, 204);
	});
	add('post', '/v1/segments/:hold', createPrefillHandler(host));
	add('post', '/v1/kv/export/:attempt', createExportHandler(host));
	add('post', '/v1/kv/import', createImportHandler(host));
	add('post', '/v1/orders', createOrderHandler(host));
	add('get', '/v1/orders', async ({outgoing}) => {
		sendJson(outgoing, 200, host.engine.orders.getState(host.engine.incarnation));
	});
}
