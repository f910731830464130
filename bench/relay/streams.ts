/** Streams that a relay is loaded with, and what they measure. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {type Address} from '../../src/core/index.js';

/** One streamed answer as its caller saw it. */
export type Stream = {
	/** Milliseconds from the request to the first frame. */
	readonly firstFrame: number;
	readonly frames: number;
};

const agent = new http.Agent({keepAlive: false});
const frameMark = '"content":';

function countMarks(text: string): number {
	return text.split(frameMark).length - 1;
}

/**
 * @param address - Relay.
 * @param prompt - Prompt.
 * @param tokens - Tokens asked for.
 * @param attempt - Id of the attempt, for a relay that does not make its own.
 * @returns What the caller saw.
 */
export async function openStream(address: Address, prompt: string, tokens: number, attempt: string): Promise<Stream> {
	const body = JSON.stringify({
		model: 'check',
		stream: true,
		max_tokens: tokens,
		messages: [{role: 'user', content: prompt}],
	});
	return new Promise((resolve, reject) => {
		const began = performance.now();
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
				firstFrame ||= performance.now() - began;
				frames += countMarks(text);
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
