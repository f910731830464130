/** Sends HTTP requests whose responses are validated, over connections that do that. */
import {
	Agent, request, type ClientRequest, type ClientRequestArgs, type RequestOptions,
} from 'node:http';
import {type NetConnectOpts} from 'node:net';
import {type Duplex} from 'node:stream';
import {maxHeadBytes} from './response-validator.js';
import {isValidating, openConnection} from './validated-socket.js';

/** Like the agent of Node.js, with connections that validate responses. */
export class ValidatingAgent extends Agent {
	override createConnection(options: ClientRequestArgs): Duplex {
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The agent of Node.js passes the same options to `net.connect`.
		return openConnection(options as NetConnectOpts);
	}
}

/**
 * Validates the response to a request byte by byte; one that is malformed ends the request with a `MalformedResponse`.
 *
 * @param outgoing - Request that was just created; its agent has to open connections that validate responses.
 * @returns The same request.
 */
export function validateResponse(outgoing: ClientRequest): ClientRequest {
	outgoing.once('socket', socket => {
		if (isValidating(socket)) {
			socket.expectResponse(outgoing.method);
		} else {
			outgoing.destroy(new TypeError('the connection does not validate responses'));
		}
	});
	return outgoing;
}

/**
 * Sends a request whose response is validated.
 *
 * @param options - Request, with an agent whose connections validate responses.
 * @returns The request.
 */
export function requestValidated(options: RequestOptions & {readonly agent: Agent}): ClientRequest {
	// The parser counts fewer bytes of a head than the validation, which bounds it.
	return validateResponse(request({...options, maxHeaderSize: maxHeadBytes}));
}
