/** Sends requests as callers do and collects their answers. */
import {Buffer} from 'node:buffer';
import {Agent, request} from 'node:http';
import {type Address} from '../../src/core/index.js';
import {engineConfiguration} from './configuration.js';

export type Answer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly body: string;
	/** Whether the answer was complete according to its framing. */
	readonly isWhole: boolean;
	/** Milliseconds until the answer ended. */
	readonly took: number;
};

/** A request of a caller. */
export type CallerRequest = {
	readonly path: string;
	/** Sent as `X-Request-Id` unless empty. */
	readonly id: string;
	readonly method?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	readonly agent?: Agent;
	readonly signal?: AbortSignal;
	/** Milliseconds between the halves of the body. */
	readonly bodyDelay?: number;
	/** Milliseconds for which nothing is read after the head of the answer. */
	readonly readingDelay?: number;
	/** Called with each chunk of the body. */
	readonly onData?: (text: string) => void;
};

/** The connection failed before any answer arrived. */
export class ConnectionError extends Error {
	/** Whether the connection had carried other requests. */
	readonly isReused: boolean;

	constructor(cause: Error, isReused: boolean) {
		super(cause.message, {cause});
		this.isReused = isReused;
	}
}

/**
 * Sends a request.
 *
 * @returns The answer, which may be incomplete.
 * @throws {ConnectionError} If the connection fails before the answer begins.
 */
export async function sendRequest(address: Address, callerRequest: CallerRequest): Promise<Answer> {
	const began = performance.now();
	return new Promise((resolve, reject) => {
		let isAnswered = false;
		const outgoing = request({
			host: address.host,
			port: address.port,
			path: callerRequest.path,
			method: callerRequest.method ?? 'POST',
			agent: callerRequest.agent ?? new Agent(),
			headers: {...(callerRequest.id !== '' && {'X-Request-Id': callerRequest.id}), ...callerRequest.headers},
			signal: callerRequest.signal,
		}, incoming => {
			isAnswered = true;
			const chunks: Uint8Array[] = [];
			const end = () => {
				resolve({
					status: incoming.statusCode ?? 0,
					headers: incoming.headers,
					body: Buffer.concat(chunks).toString('utf8'),
					isWhole: incoming.complete,
					took: performance.now() - began,
				});
			};

			incoming.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
				callerRequest.onData?.(Buffer.from(chunk).toString('utf8'));
			});
			incoming.on('end', end);
			incoming.on('error', end);
			if (callerRequest.readingDelay !== undefined) {
				incoming.pause();
				setTimeout(() => {
					incoming.resume();
				}, callerRequest.readingDelay);
			}
		});
		outgoing.on('error', error => {
			if (!isAnswered) {
				reject(new ConnectionError(error, outgoing.reusedSocket));
			}
		});
		const {body = '', bodyDelay} = callerRequest;
		if (bodyDelay === undefined) {
			outgoing.end(callerRequest.body);
			return;
		}

		const half = Math.ceil(body.length / 2);
		outgoing.setHeader('Content-Length', body.length);
		outgoing.write(body.slice(0, half));
		setTimeout(() => {
			outgoing.end(body.slice(half));
		}, bodyDelay);
	});
}

/**
 * @param tokens - Tokens of the prompt.
 * @param events - Number of events of the answer.
 * @returns The headers of a model request.
 */
export function createPromptHeaders(tokens: number, events: number): Readonly<Record<string, string>> {
	return {'X-Model': 'm', 'X-Token-Count': `${tokens},${events * engineConfiguration.Stride}`};
}

/**
 * @returns The ids of the events in a streamed answer, in order.
 */
export function parseEventIds(answer: Answer): readonly number[] {
	return [...answer.body.matchAll(/^id: (\d+)$/gmv)].map(match => Number(match[1]));
}
