/** Moves a stream to another engine before its caller loses by where it is. */
import {isWorthMoving} from '../core/gateway/moves.js';
import {type Place} from '../core/gateway/placement.js';
import {type Tries} from '../core/gateway/tries.js';
import {type Demand} from '../core/gateway/types.js';
import {type Attempt} from './attempt.js';
import {type Gateway} from './gateway.js';
import {type Trace} from './trace.js';

/** A stream at an engine. */
export type Sent = {
	readonly job: string;
	readonly place: Place;
	readonly attempt: Attempt;
	/** What is asked, as things stand. */
	readonly demand: () => Demand;
};

export class Mover {
	readonly #gateway: Gateway;
	readonly #tries: Tries;
	readonly #trace: Trace;

	/**
	 * @param gateway - What is known.
	 * @param tries - Attempts of the request.
	 * @param trace - Told of moves.
	 */
	constructor(gateway: Gateway, tries: Tries, trace: Trace) {
		this.#gateway = gateway;
		this.#tries = tries;
		this.#trace = trace;
	}

	/**
	 * Looks at a stream again when news speak for a move.
	 *
	 * @param sent - The stream.
	 */
	watch(sent: Sent): void {
		this.#gateway.news.watch(sent.job, {
			met: () => {
				const second = this.#gateway.reconsider(sent.demand(), sent.place, sent.job, this.#tries.eligibility);
				this.#move(sent, second?.staying ?? 0, second?.best);
			},
			disturbed: loss => {
				this.#considerDisturbed(sent, loss);
			},
		});
	}

	/** Goes on at another engine if that loses clearly less than waiting for the reading that has come to this one. */
	#considerDisturbed(sent: Sent, staying: number): void {
		const demand = sent.demand();
		if (demand.pause === undefined || this.#trace.longestPause > demand.pause || demand.isBegun !== true) {
			return;
		}

		const place = this.#gateway.place(demand, this.#tries.eligibility);
		if (place?.helpers.length === 0) {
			this.#move(sent, staying, place);
		}
	}

	#move({attempt, demand}: Sent, staying: number, place: Place | undefined): void {
		if (place === undefined || attempt.cancelled !== undefined || !isWorthMoving(staying, place.loss)) {
			return;
		}

		if (this.#gateway.mayRetry(demand().service)) {
			this.#trace.write('moving', {to: place.upstream.id, loss: Number(place.loss.toFixed(3)), staying: Number(staying.toFixed(3))});
			attempt.cancel('moved');
		}
	}
}
