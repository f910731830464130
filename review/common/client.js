/** A caller: sends one request, on a connection of its own unless it has an agent, and reads the answer to its end. */
import {Buffer} from 'node:buffer';
import {request} from 'node:http';

/**
 * @param options - Port of a gateway, path, and optionally method, headers, body, timeout and agent.
 * @returns Status, headers and body, whether the answer is complete as HTTP has it, and whether the connection had been used before; the
 * status is 0 if there was no answer.
 */
export async function sendRequest({port, path, method = 'GET', headers = {}, body = '', timeout = 20_000, agent = false}) {
	const sentAt = performance.now();
	return new Promise(resolve => {
		const chunks = [];
		let status = 0;
		let answer;
		const finish = detail => {
			clearTimeout(timer);
			resolve({
				status,
				headers: answer?.headers ?? {},
				body: Buffer.concat(chunks).toString('utf8'),
				isComplete: detail === undefined && answer?.complete === true,
				detail,
				isReused: outgoing.reusedSocket,
				sentAt,
				endedAt: performance.now(),
			});
		};

		const outgoing = request({
			host: '127.0.0.1', port, path, method, headers: {...headers, ...(body !== '' && {'content-length': Buffer.byteLength(body)})}, agent,
		});
		const timer = setTimeout(() => {
			outgoing.destroy(new Error('the deadline is over'));
		}, timeout);
		outgoing.on('error', error => {
			finish(error.message);
		});
		outgoing.on('response', response => {
			answer = response;
			status = response.statusCode;
			response.on('data', chunk => {
				chunks.push(chunk);
			});
			response.on('error', error => {
				finish(error.message);
			});
			response.on('end', () => {
				finish();
			});
		});
		outgoing.end(body);
	});
}
