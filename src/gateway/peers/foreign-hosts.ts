/** Reports connections that were refused because the other end isn't a host of this fleet: at most one log line a minute per address. */
import {codes} from '../../core/index.js';
import {LogLimiter} from '../../core/utils/log-limiter.js';
import {type Log} from '../../entry/logs.js';

/** Why a connection was refused. */
export type RefusalReason
	/** The other end belongs to another fleet, as found here or there. */
	= | 'foreign'
	/** It sent something else than a handshake. */
		| 'invalid'
	/** Too many connections are in their handshake. */
		| 'too many'
	/** One of the hosts can't yet tell whether they belong to the same fleet. */
		| 'undecided';

export type RefusedConnection = {
	readonly reason: RefusalReason;
	/** Address that was dialled, or from which the connection came. */
	readonly address: string;
	/** Identity of this host. */
	readonly own: string;
	/** Identity of the other end, as far as it is known. */
	readonly peer: string;
};

const events = {
	foreign: {event: 'peer-foreign', code: codes.foreignHost},
	invalid: {event: 'peer-refused', code: codes.badPeerMessage},
	'too many': {event: 'peer-refused', code: undefined},
	undecided: {event: 'peer-undecided', code: undefined},
} as const satisfies Readonly<Record<RefusalReason, unknown>>;

export class ForeignHosts {
	readonly #log: Pick<Log, 'write'>;
	readonly #now: () => number;
	readonly #counts = new Map<RefusalReason, number>();
	/** By event and address. */
	readonly #limiter = new LogLimiter();

	/**
	 * @param log - Log.
	 * @param now - Returns the monotonic time in milliseconds.
	 */
	constructor(log: Pick<Log, 'write'>, now: () => number) {
		this.#log = log;
		this.#now = now;
	}

	/** Connections refused since the start of this host, by reason. */
	get counts(): ReadonlyMap<RefusalReason, number> {
		return this.#counts;
	}

	/**
	 * @param connection - Connection that is being refused.
	 */
	record({reason, address, own, peer}: RefusedConnection): void {
		this.#counts.set(reason, (this.#counts.get(reason) ?? 0) + 1);
		const {event, code} = events[reason];
		if (this.#limiter.admit(`${event} ${address}`, this.#now())) {
			this.#log.write({
				event, code, reason, address, own, peer,
			}, reason === 'undecided' ? 'info' : 'warn');
		}
	}
}
