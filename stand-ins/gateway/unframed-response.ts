/** A response with neither a length nor chunks: its end is that of its connection. */
import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';

export class UnframedResponse {
	readonly #socket: Socket | undefined;

	/**
	 * @param outgoing - Response of which nothing has been sent yet; its headers are sent, and nothing is written to it afterwards.
	 * @param headers - Further headers.
	 */
	constructor(outgoing: ServerResponse, headers: Readonly<Record<string, string>>) {
		this.#socket = outgoing.socket ?? undefined;
		const lines = Object.entries({...outgoing.getHeaders(), ...headers, connection: 'close'}).map(([name, value]) => `${name}: ${String(value)}\r\n`);
		this.#socket?.write(`HTTP/1.1 200 OK\r\n${lines.join('')}\r\n`);
	}

	write(text: string): void {
		this.#socket?.write(text);
	}

	/** Closes the connection properly. */
	end(): void {
		this.#socket?.end();
	}

	/** Resets the connection. */
	reset(): void {
		this.#socket?.resetAndDestroy();
	}
}
