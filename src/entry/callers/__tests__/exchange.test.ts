import {ServerResponse, IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import {describe, expect, it} from 'vitest';
import {codes, type Request} from '../../../core/index.js';
import {Exchanges} from '../exchange.js';
import {type Receiver} from '../receivers.js';
import {getHttpStatus} from '../statuses.js';

const large = new Uint8Array(3_000_000);

function request(id: string): Request {
	return {
		id,
		organisation: 'one',
		service: 'book',
		priority: 5,
		arrival: 0,
		deadline: 1000,
		promptTokens: 1,
		blocks: [],
		proof: {type: 'key', key: id},
		fingerprint: id,
	};
}

function receiver(id: string): Receiver {
	const response = new ServerResponse(new IncomingMessage(new Socket()));
	return {
		request: id,
		form: 'whole',
		response,
		frames: [],
	};
}

function open(exchanges: Exchanges, id: string): Receiver {
	const opened = receiver(id);
	exchanges.open(request(id), {
		method: 'POST',
		path: '/pay',
		callerPath: '/v1/services/book/pay',
		headers: {},
		body: large,
		engineBody: '',
	}, opened);
	return opened;
}

describe('exchanges', () => {
	it('are removed when they end unless their answer can be repeated', () => {
		const exchanges = new Exchanges();
		for (let index = 0; index < 100; index++) {
			open(exchanges, `refused ${index}`);
			exchanges.end(`refused ${index}`, {outcome: {type: 'not-run', code: codes.ticketRequired}}, () => false);
		}

		expect(exchanges.size).toBe(0);
	});

	it('keep answers without their payload until they are forgotten', () => {
		const exchanges = new Exchanges();
		open(exchanges, 'kept');
		exchanges.end('kept', {outcome: {type: 'done'}}, () => true);
		expect(exchanges.get('kept')?.payload.body.byteLength).toBe(0);
		exchanges.forget('kept');
		expect(exchanges.size).toBe(0);
	});

	it('discard the oldest answers first and report this to repeated requests', () => {
		const exchanges = new Exchanges();
		for (let index = 0; index < 20; index++) {
			open(exchanges, `answer ${index}`);
			void exchanges.get(`answer ${index}`)?.answer.push({type: 'bytes', chunk: large});
			exchanges.end(`answer ${index}`, {outcome: {type: 'done'}}, () => true);
		}

		const [late, early] = ['late', 'early'].map(id => open(exchanges, id));
		exchanges.replay('late', 'answer 19');
		exchanges.replay('early', 'answer 0');
		expect(late!.response.writableEnded).toBe(true);
		expect(late!.response.statusCode).toBe(200);
		expect(early!.response.statusCode).toBe(getHttpStatus(codes.answerNotKept));
	});
});
