/** HTTP client of all calls that are sent with got. */
import {request} from 'node:http';
import got from 'got';
import {maxHeadBytes} from './response-validator.js';
import {validateResponse, ValidatingAgent} from './validated-request.js';

/** Time in milliseconds for which an idle connection is kept: shorter than the five seconds usual for servers. */
export const idleTimeoutMs = 4000;

/** Validates responses. Keeps connections, unless a call has an agent of its own, which has to be a `ValidatingAgent`. */
export const client = got.extend({
	agent: {http: new ValidatingAgent({keepAlive: true, timeout: idleTimeoutMs})},
	maxHeaderSize: maxHeadBytes,
	request: (url, options, callback) => validateResponse(request(url, options, callback)),
});
