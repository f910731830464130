/** Opens streams through a relay and measures them. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {type Address} from '../../src/core/index.js';

/** Measurements of one streamed answer at its caller. */
export type Stream = {
	/** Milliseconds from the request to the first frame. */
	readonly firstFrame: number;
	readonly frames: number;
};

const agent = new http.Agent({keepAlive: false});
const frameMarker = '"content":';

function countFrames(text: string): number {
	return text.split(frameMarker).length - 1;
}

/**
 * Sends a streaming chat completion request and reads the answer to its end.
 *
 * @param address - Address of the relay.
 * @param prompt - Text of the prompt.
 * @param tokens - Maximum number of answer tokens.
 * @param attempt - Id of the attempt, for a relay that does not create one.
 * @returns Measurements.
 */
export async function openStream(address: Address, prompt: string, tokens: number, attempt: string): Promise<Stream> {
	const body = JSON.stringify({
		model: 'check',
		stream: true,
		max_tokens: tokens,
		messages: [{role: 'user', content: prompt}],
	});
	return new Promise((resolve, reject) => {
		const startedAt = performance.now();
		const request = http.request({
			agent,
			...address,
			method: 'POST',
			path: '/v1/chat/completions',
			headers: {
				authorization: 'Bearer key-bench',
				'content-type': 'application/json',
				'content-length': Buffer.byteLength(body),
				'x-attempt-id': attempt,
				'x-timeout-ms': '60000',
			},
		}, response => {
			let firstFrame = 0;
			let frames = 0;
			response.setEncoding('utf8');
			response.on('data', (text: string) => {
				firstFrame ||= performance.now() - startedAt;
				frames += countFrames(text);
			});
			response.once('end', () => {
				resolve({firstFrame, frames});
			});
			response.once('error', reject);
		});
		request.once('error', reject);
		request.end(body);
	});
}
