/** HTTP server for the operators' command line: convictions of requests that crash engines. */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {
	codes, isFailure, messageOf, raise, type Address, type Code,
} from '../../core/index.js';
import {isCause} from '../../core/gateway/suspicion/causes.js';
import {type Order} from '../../core/gateway/suspicion/orders.js';
import {type Log} from '../../entry/logs.js';
import {
	convictionOrderSchema, type ConvictionReport, type Convictions as ConvictionsResponse,
} from '../../protocol/admin.js';
import {closeServer, openServer} from '../callers/listening.js';
import {type Conviction} from '../../core/gateway/suspicion/suspects.js';
import {type Convictions} from '../suspicion/convictions.js';

const convictionsPath = '/admin/convictions';
const maxBodyBytes = 10_000;

export type AdminListenerOptions = {
	/** Name of this host. */
	readonly host: string;
	readonly convictions: Pick<Convictions, 'all' | 'give' | 'reportCount'>;
	readonly now: () => number;
	readonly wall: () => number;
	readonly log: Pick<Log, 'write'>;
};

function toHttpStatus(code: Code): number {
	switch (code) {
		case codes.badBody: {
			return 400;
		}

		case codes.unknownPath: {
			return 404;
		}

		default: {
			return 500;
		}
	}
}

function send(outgoing: ServerResponse, status: number, content: unknown): void {
	const text = JSON.stringify(content);
	outgoing.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)}).end(text);
}

export class AdminListener implements AsyncDisposable {
	readonly #options: AdminListenerOptions;
	readonly #server: Server;

	/**
	 * @param options - This host, and what operators may see and change.
	 */
	constructor(options: AdminListenerOptions) {
		this.#options = options;
		this.#server = createServer((incoming, outgoing) => {
			void this.#handle(incoming, outgoing);
		});
	}

	/**
	 * @param address - Address to listen on.
	 */
	async listen(address: Address): Promise<void> {
		await openServer(this.#server, address);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await closeServer(this.#server);
	}

	async #handle(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
		try {
			send(outgoing, 200, await this.#answer(incoming));
		} catch (error) {
			const code = isFailure(error) ? error.code : codes.internal;
			if (code === codes.internal) {
				this.#options.log.write({event: 'admin-failed', detail: messageOf(error)}, 'error');
			}

			send(outgoing, toHttpStatus(code), {error: {code, message: messageOf(error)}});
		}
	}

	async #answer(incoming: IncomingMessage): Promise<ConvictionsResponse> {
		const {url, method} = incoming;
		if (url !== convictionsPath || (method !== 'GET' && method !== 'POST')) {
			incoming.resume();
			return raise('unknownPath', `${method ?? ''} ${url ?? ''}`);
		}

		if (method === 'POST') {
			const order = await readOrder(incoming);
			this.#options.convictions.give({...order, given: this.#options.wall()});
		} else {
			incoming.resume();
		}

		return this.#describe();
	}

	#describe(): ConvictionsResponse {
		const {host, convictions} = this.#options;
		return {host, attempts: convictions.reportCount, convictions: convictions.all.map(conviction => this.#describeConviction(conviction))};
	}

	#describeConviction({service, version, causes, basis}: Conviction): ConvictionReport {
		const now = this.#options.now();
		switch (basis.type) {
			case 'crashes': {
				const times = basis.crashes.map(({at}) => at);
				return {
					service, version, causes, crashes: basis.crashes.length, since: Math.round(now - Math.min(...times)), last: Math.round(now - Math.max(...times)),
				};
			}

			case 'order': {
				return {
					service, causes, crashes: 0, since: Math.round(now - basis.order.at), reason: basis.order.reason,
				};
			}

			default: {
				return basis satisfies never;
			}
		}
	}
}

async function readOrder(incoming: IncomingMessage): Promise<Omit<Order, 'given'>> {
	// Pages of other sites can't send this type without asking first.
	if (incoming.headers['content-type'] !== 'application/json') {
		return raise('badBody', 'the content type must be application/json');
	}

	const chunks: Buffer[] = [];
	let length = 0;
	for await (const chunk of incoming as AsyncIterable<Buffer>) {
		length += chunk.length;
		if (length > maxBodyBytes) {
			return raise('badBody', `longer than ${maxBodyBytes} bytes`);
		}

		chunks.push(chunk);
	}

	let value: unknown;
	try {
		value = JSON.parse(Buffer.concat(chunks).toString('utf8'));
	} catch {
		return raise('badBody', 'not JSON');
	}

	const parsed = convictionOrderSchema.safeParse(value);
	if (!parsed.success) {
		const issue = parsed.error.issues[0];
		return raise('badBody', `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`);
	}

	const {cause} = parsed.data;
	return isCause(cause) ? {...parsed.data, cause} : raise('badBody', `cause: "${cause}" is neither part:ID nor request:FINGERPRINT`);
}
