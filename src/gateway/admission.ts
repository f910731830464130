/** Whether a request may be served here, by the configuration in force. */
import {type Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {type IncomingMessage} from 'node:http';
import {assertNever} from '../core/index.js';
import {type Resolution} from '../core/gateway/directory.js';
import {type AnswerName} from './answers.js';
import {type Gateway} from './gateway.js';

export type Routed = Extract<Resolution, {readonly type: 'routed'}>;

export type Admission = Routed | {readonly type: 'refused'; readonly answer: AnswerName};

/**
 * @param gateway - What is known.
 * @param incoming - Request of a caller.
 * @param key - API key, if it sent one.
 * @returns Where the request may go, or what its caller is told.
 */
export function admit(gateway: Gateway, incoming: IncomingMessage, key: string | undefined): Admission {
	const path = (incoming.url ?? '').split('?')[0]!;
	const resolution = gateway.directory?.resolve(incoming.headers.host ?? '', path, key);
	switch (resolution?.type) {
		case undefined: {
			return {type: 'refused', answer: 'notConfigured'};
		}

		case 'no-route': {
			// A host that has lost the store may not have heard of a new route, nor of a new key.
			return {type: 'refused', answer: gateway.isKeyStale ? 'notConfigured' : 'unknownRoute'};
		}

		case 'unknown-key': {
			return {type: 'refused', answer: gateway.isKeyStale ? 'notConfigured' : 'unknownKey'};
		}

		case 'routed': {
			return trusted(gateway, resolution);
		}

		default: {
			return assertNever(resolution);
		}
	}
}

/** A key that may have been taken away counts for nothing; public routes need none. */
function trusted(gateway: Gateway, routed: Routed): Admission {
	if (routed.organisation === undefined || !gateway.isKeyStale) {
		return routed;
	}

	return routed.route.isPublic
		? {...routed, organisation: undefined}
		: {type: 'refused', answer: 'notConfigured'};
}

/**
 * @param incoming - Request of a caller.
 * @param organisation - Who calls.
 * @param body - Its body.
 * @returns A text that is equal for a request that is sent again.
 */
export function fingerprintOf(incoming: IncomingMessage, organisation: string | undefined, body: Buffer): string {
	return createHash('sha1')
		.update(incoming.url ?? '')
		.update('\0')
		.update(organisation ?? '')
		.update('\0')
		.update(body)
		.digest('base64url');
}
