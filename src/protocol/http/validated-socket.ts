/** Connections whose responses are validated before the HTTP parser of Node.js reads them. */
import {Socket, type NetConnectOpts} from 'node:net';
import {type Duplex} from 'node:stream';
import {ResponseValidator} from './response-validator.js';

/** An upstream has sent bytes that are no response. */
export class MalformedResponse extends Error {
	override readonly name = 'MalformedResponse';
}

/** Connection that validates what arrives in answer to a request. */
export type ValidatingConnection = Duplex & {
	/**
	 * Validates what arrives from now on, until the next request.
	 *
	 * @param method - Method of the request that is sent.
	 */
	readonly expectResponse: (method: string) => void;
};

/**
 * @param connection - Connection.
 * @returns Whether it validates responses.
 */
export function isValidating(connection: Duplex): connection is ValidatingConnection {
	return 'expectResponse' in connection;
}

/** Socket that passes on only what a response may hold; what breaks the grammar destroys it. */
export class ValidatedSocket extends Socket implements ValidatingConnection {
	#validator: ResponseValidator | undefined;

	expectResponse(method: string): void {
		this.#validator = new ResponseValidator(method);
		if (this.readableLength > 0) {
			this.destroy(new MalformedResponse('bytes before the request'));
		}
	}

	override push(chunk: unknown, encoding?: NodeJS.BufferEncoding): boolean {
		const malformation = chunk instanceof Uint8Array ? this.#validator?.validate(chunk) : undefined;
		if (malformation === undefined) {
			return super.push(chunk, encoding);
		}

		if (chunk instanceof Uint8Array && malformation.offset > 0) {
			super.push(chunk.subarray(0, malformation.offset), encoding);
		}

		this.destroy(new MalformedResponse(malformation.reason));
		return false;
	}
}

/**
 * @param options - Address and socket options.
 * @returns A connection that is being established; it validates responses once a request expects them.
 */
export function openConnection(options: NetConnectOpts): ValidatedSocket {
	const socket = new ValidatedSocket(options);
	if (options.timeout !== undefined && options.timeout > 0) {
		socket.setTimeout(options.timeout);
	}

	return socket.connect(options);
}
