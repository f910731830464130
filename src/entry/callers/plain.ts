/** Turns a request for a plain service into a request of the core. */
import {type Method} from 'got';
import {raise} from '../../core/index.js';
import {countTokens} from '../../protocol/blocks.js';
import {decode} from './body.js';
import {
	accountKey, readCommon, type Intake, type Reading,
} from './chat.js';

/** Path under which plain services are reached. */
export const servicesPath = '/v1/services/';

/**
 * @param path - Path with query, as this host was asked for it.
 * @param service - Service.
 * @returns Path with query for the upstream.
 */
export function upstreamPath(path: string, service: string): string {
	const rest = path.slice(servicesPath.length + encodeURIComponent(service).length);
	return rest.startsWith('/') ? rest : `/${rest}`;
}

const methods: readonly Method[] = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'HEAD', 'OPTIONS'];

function methodOf(name: string): Method {
	return methods.find(method => method === name) ?? raise('unknownPath', name);
}

/**
 * @param reading - Request as it came.
 * @returns The request for the core.
 * @throws Failure of a header.
 */
export function readPlain(reading: Reading): Intake {
	const common = readCommon(reading);
	return {
		request: {
			...common,
			promptTokens: countTokens(decode(reading.body)),
			blocks: [],
		},
		payload: {
			method: methodOf(reading.method),
			path: upstreamPath(reading.path, reading.service.id),
			callerPath: reading.path,
			headers: reading.headers,
			body: reading.body,
			engineBody: '',
			key: accountKey(common.proof, reading.headers),
		},
		form: 'whole',
	};
}
