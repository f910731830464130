/** Requests of callers, and what becomes of them. */
import {Buffer} from 'node:buffer';
import {Agent, request} from 'node:http';
import {type Address} from '../../src/core/index.js';
import {engine} from './figures.js';

export type Answer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly body: string;
	/** Whether the answer ended as its framing said. */
	readonly isWhole: boolean;
	/** Milliseconds until the end. */
	readonly took: number;
};

export type Asking = {
	readonly path: string;
	readonly id: string;
	readonly method?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	readonly agent?: Agent;
	readonly signal?: AbortSignal;
	/** Called at each part of the body. */
	readonly onData?: (text: string) => void;
};

/** A connection that ended before any answer. */
export class CallFailure extends Error {
	/** Whether the connection had carried other requests. */
	readonly isReused: boolean;

	constructor(cause: Error, isReused: boolean) {
		super(cause.message, {cause});
		this.isReused = isReused;
	}
}

/**
 * @param address - Where to.
 * @param asking - What.
 * @returns The answer; rejects where the connection ended before any.
 */
export async function call(address: Address, asking: Asking): Promise<Answer> {
	const began = performance.now();
	return new Promise((resolve, reject) => {
		let isAnswered = false;
		const outgoing = request({
			host: address.host,
			port: address.port,
			path: asking.path,
			method: asking.method ?? 'POST',
			agent: asking.agent ?? new Agent(),
			headers: {...(asking.id !== '' && {'X-Request-Id': asking.id}), ...asking.headers},
			signal: asking.signal,
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
				asking.onData?.(Buffer.from(chunk).toString('utf8'));
			});
			incoming.on('end', end);
			incoming.on('error', end);
		});
		outgoing.on('error', error => {
			if (!isAnswered) {
				reject(new CallFailure(error, outgoing.reusedSocket));
			}
		});
		outgoing.end(asking.body);
	});
}

/**
 * @param tokens - Length of the prompt.
 * @param events - Events of the answer.
 * @returns Headers of a model request.
 */
export function prompt(tokens: number, events: number): Readonly<Record<string, string>> {
	return {'X-Model': 'm', 'X-Token-Count': `${tokens},${events * engine.Stride}`};
}

/**
 * @param answer - Answer of an engine.
 * @returns The ids of its events, in order.
 */
export function eventsOf(answer: Answer): readonly number[] {
	return [...answer.body.matchAll(/^id: (\d+)$/gmv)].map(match => Number(match[1]));
}
