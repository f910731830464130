/** Announces hosts that have just been linked to the others. */
import {type Host} from './messages.js';

/** How long hosts that join a large fleet are collected before they are announced. */
const batchDelayMs = 100;

export type AnnouncerOptions = {
	/** Whether to announce hosts together: hundreds join when all lose power. */
	readonly isBatching: () => boolean;
	/** Sends the hosts to the linked ones. */
	readonly send: (joined: readonly Host[]) => void;
};

export class Announcer implements Disposable {
	readonly #options: AnnouncerOptions;
	#joined: Host[] = [];
	#timer: NodeJS.Timeout | undefined;

	constructor(options: AnnouncerOptions) {
		this.#options = options;
	}

	/**
	 * @param host - Host that has just been linked.
	 */
	add(host: Host): void {
		this.#joined.push(host);
		if (!this.#options.isBatching()) {
			this.#flush();
			return;
		}

		this.#timer ??= setTimeout(() => {
			this.#flush();
		}, batchDelayMs);
	}

	[Symbol.dispose](): void {
		clearTimeout(this.#timer);
	}

	#flush(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		const joined = this.#joined;
		this.#joined = [];
		this.#options.send(joined);
	}
}
