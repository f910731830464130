/** Loaded before a program: writing a response to a caller fails where its bytes or its head ask for that. */
import {ServerResponse} from 'node:http';
import {failingBytes, failingHead} from './failing-markers.js';

const {prototype} = ServerResponse;

function wrap(name: 'end' | 'write' | 'writeHead', isFailing: (parameters: readonly unknown[]) => boolean): void {
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Takes the parameters of either method.
	const original = prototype[name] as (...parameters: unknown[]) => unknown;
	Object.defineProperty(prototype, name, {
		value(this: ServerResponse, ...parameters: unknown[]) {
			if (isFailing(parameters)) {
				throw new RangeError(`${name} fails`);
			}

			return original.apply(this, parameters);
		},
	});
}

wrap('writeHead', parameters => parameters.some(each => Array.isArray(each) && each.includes(failingHead)));
for (const name of ['write', 'end'] as const) {
	wrap(name, ([chunk]) => chunk instanceof Uint8Array && new TextDecoder().decode(chunk).includes(failingBytes));
}
