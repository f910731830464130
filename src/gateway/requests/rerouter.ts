/** Reroutes a running stream to another engine when staying would cost its caller clearly more. */
import {isWorthRerouting} from '../../core/gateway/placement/rerouting.js';
import {type Placement} from '../../core/gateway/placement/placement.js';
import {roundTo} from '../../core/utils/numbers.js';
import {type Attempts} from '../../core/gateway/placement/attempts.js';
import {type Demand} from '../../core/gateway/types.js';
import {type Gateway} from '../gateway.js';
import {type Run} from './run.js';
import {type RequestTrace} from './trace.js';

/** A stream that is running at an engine. */
export type RunningStream = {
	readonly job: string;
	readonly place: Placement;
	readonly run: Run;
	/** Returns the current demand of the request. */
	readonly demand: () => Demand;
};

export class Rerouter {
	readonly #gateway: Gateway;
	readonly #attempts: Attempts;
	readonly #trace: RequestTrace;

	/**
	 * @param gateway - Gateway that places the request.
	 * @param attempts - Attempts of the request.
	 * @param trace - Records rerouting.
	 */
	constructor(gateway: Gateway, attempts: Attempts, trace: RequestTrace) {
		this.#gateway = gateway;
		this.#attempts = attempts;
		this.#trace = trace;
	}

	/**
	 * Reconsiders the placement of a stream whenever load updates suggest that another engine may be better.
	 *
	 * @param stream - The stream.
	 */
	watch(stream: RunningStream): void {
		this.#gateway.loadUpdates.watch(stream.job, {
			preceded: () => {
				const assessment = this.#gateway.placements.reevaluate(stream.demand(), stream.place, stream.job, this.#attempts.untried);
				this.#rerouteIfWorthwhile(stream, assessment?.staying ?? 0, assessment?.best);
			},
			disrupted: loss => {
				this.#considerDisruption(stream, loss);
			},
		});
	}

	/**
	 * Reroutes the stream if that loses clearly less than waiting for the prefill of a new job at its engine.
	 *
	 * @param stream - The stream.
	 * @param staying - Expected loss of staying.
	 */
	#considerDisruption(stream: RunningStream, staying: number): void {
		const demand = stream.demand();
		if (demand.pause === undefined || this.#trace.longestPause > demand.pause || demand.hasBegun !== true) {
			return;
		}

		const placement = this.#gateway.placements.place(demand, this.#attempts.untried);
		if (placement?.helpers.length === 0) {
			this.#rerouteIfWorthwhile(stream, staying, placement);
		}
	}

	#rerouteIfWorthwhile({run}: RunningStream, staying: number, placement: Placement | undefined): void {
		if (placement !== undefined && isWorthRerouting(staying, placement.loss) && run.requestSuccessor('moved', placement)) {
			this.#trace.write('moving', {to: placement.upstream.id, loss: roundTo(placement.loss, 3), staying: roundTo(staying, 3)});
		}
	}
}
