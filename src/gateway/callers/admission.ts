/** Decides by the current configuration whether a request may be served and where it is routed. */
import {type Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {type IncomingMessage} from 'node:http';
import {assertNever} from '../../core/index.js';
import {type Resolution} from '../../core/gateway/registry/directory.js';
import {type Gateway} from '../gateway.js';
import {type AnswerName} from './answers.js';

export type RoutedResolution = Extract<Resolution, {readonly type: 'routed'}>;

export type Admission = RoutedResolution | {readonly type: 'refused'; readonly answer: AnswerName};

/**
 * @param gateway - Gateway with the current configuration.
 * @param incoming - Request of a caller.
 * @param key - API key, if the caller sent one.
 * @returns The route of the request, or the answer with which it is refused.
 */
export function admit(gateway: Gateway, incoming: IncomingMessage, key: string | undefined): Admission {
	const path = (incoming.url ?? '').split('?')[0]!;
	const resolution = gateway.directory?.resolve(incoming.headers.host ?? '', path, key);
	switch (resolution?.type) {
		case undefined: {
			return {type: 'refused', answer: 'notConfigured'};
		}

		case 'no-route': {
			// While the store is unavailable, a new route or key may not be known here yet.
			return {type: 'refused', answer: gateway.isKeyStale ? 'notConfigured' : 'unknownRoute'};
		}

		case 'unknown-key': {
			return {type: 'refused', answer: gateway.isKeyStale ? 'notConfigured' : 'unknownKey'};
		}

		case 'routed': {
			return admitRouted(gateway, resolution);
		}

		default: {
			return assertNever(resolution);
		}
	}
}

/** Ignores a key that may have been revoked: public routes don't need one, other routes refuse the request. */
function admitRouted(gateway: Gateway, routed: RoutedResolution): Admission {
	if (routed.organisation === undefined || !gateway.isKeyStale) {
		return routed;
	}

	return routed.route.isPublic
		? {...routed, organisation: undefined}
		: {type: 'refused', answer: 'notConfigured'};
}

/**
 * @param incoming - Request of a caller.
 * @param organisation - Organisation of the caller, if known.
 * @param body - Body of the request.
 * @param parts - Ids of the parts of its prompt, in order; none if it has no prompt, or its prompt is in the body.
 * @returns A hash that is equal for repetitions of the same request.
 */
export function computeFingerprint(incoming: IncomingMessage, organisation: string | undefined, body: Buffer, parts: readonly string[] = []): string {
	const hash = createHash('sha1');
	for (const field of [incoming.url ?? '', organisation ?? '', ...parts]) {
		hash.update(field).update('\0');
	}

	return hash.update(body).digest('base64url');
}
