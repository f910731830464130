/** Converts an HTTP request for a plain service into a core request. */
import {type Method} from 'got';
import {raise} from '../../core/index.js';
import {countTokens} from '../../protocol/blocks.js';
import {decodeText} from './body.js';
import {
	getIdempotencyKey, parseCommonFields, type ParsedRequest, type RequestContext,
} from './chat.js';

/** Path prefix of plain services. */
export const servicesPath = '/v1/services/';

/**
 * @param path - Path with query that the caller requested.
 * @param service - Id of the service.
 * @returns Path with query for the upstream.
 */
export function toUpstreamPath(path: string, service: string): string {
	const remainder = path.slice(servicesPath.length + encodeURIComponent(service).length);
	return remainder.startsWith('/') ? remainder : `/${remainder}`;
}

const methods: readonly Method[] = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'HEAD', 'OPTIONS'];

function parseMethod(name: string): Method {
	return methods.find(method => method === name) ?? raise('unknownPath', name);
}

/**
 * @throws Failure `badHeader`, `badTicket`, `expiredTicket` or `unknownPath`.
 */
export function parsePlainRequest(context: RequestContext): ParsedRequest {
	const common = parseCommonFields(context);
	return {
		request: {
			...common,
			promptTokens: countTokens(decodeText(context.body)),
			blocks: [],
		},
		payload: {
			method: parseMethod(context.method),
			path: toUpstreamPath(context.path, context.service.id),
			callerPath: context.path,
			headers: context.headers,
			body: context.body,
			engineBody: '',
			key: getIdempotencyKey(common.proof, context.headers),
		},
		form: 'whole',
	};
}
