/** A response that states a failure, and that is passed on if no other attempt answers. */
import {messageOf} from '../../core/index.js';
import {type Reply} from '../upstreams/attempt.js';
import {readBody, type WholeBody} from './response-forwarding.js';
import {type ResponseBuffer} from './response-buffer.js';

/** Time in milliseconds for its body: a longer wait isn't worth the text of a failure. */
const timeoutMs = 1000;

/** Reads the body while other attempts run, within the maximum that is buffered. */
export class KeptFailure {
	readonly reply: Reply;
	/** Resolves with the body; with undefined if it isn't complete in time, or too long. */
	readonly body: Promise<WholeBody | undefined>;
	readonly #buffer: ResponseBuffer;
	readonly #timer: NodeJS.Timeout;
	#resolve: ((body: WholeBody | undefined) => void) | undefined;

	/**
	 * @param reply - Response.
	 * @param buffer - Counts the bytes that are held.
	 */
	constructor(reply: Reply, buffer: ResponseBuffer) {
		this.reply = reply;
		this.#buffer = buffer;
		this.#timer = setTimeout(() => {
			this.drop();
		}, timeoutMs);
		this.body = new Promise(resolve => {
			this.#resolve = resolve;
		});
		void this.#read();
	}

	/** Gives it up, and stops reading it. */
	drop(): void {
		this.#settle(undefined);
		this.reply.body.destroy();
		this.#buffer.countUnbegun({source: this.reply, bytes: 0});
	}

	async #read(): Promise<void> {
		try {
			const body = await readBody(this.reply, this.#buffer);
			if (body.type === 'whole') {
				this.#settle(body);
				return;
			}
		} catch (error) {
			this.#buffer.log('failure-unreadable', {detail: messageOf(error)});
		}

		this.drop();
	}

	#settle(body: WholeBody | undefined): void {
		clearTimeout(this.#timer);
		this.#resolve?.(body);
	}
}
