/** Records the results of ended attempts: health of upstreams, suspected requests, and upstreams that a retry may use. */
import {endingToVerdict} from '../../core/gateway/health/health.js';
import {type AttemptEnding} from '../../core/gateway/limits/retries.js';
import {type Attempts} from '../../core/gateway/placement/attempts.js';
import {type Gateway} from '../gateway.js';
import {type ConnectionAbsence, type EndedAttempt, type Reply} from './attempt.js';

export class AttemptVerdicts {
	readonly #gateway: Gateway;
	readonly #attempts: Attempts;

	/**
	 * @param gateway - Gateway that records the verdicts.
	 * @param attempts - Attempts of the request.
	 */
	constructor(gateway: Gateway, attempts: Attempts) {
		this.#gateway = gateway;
		this.#attempts = attempts;
	}

	/**
	 * @param ended - Attempt that ended without an answer.
	 * @param upstream - Upstream of the attempt.
	 * @param isSuspected - Whether the request was suspected of crashing engines.
	 * @returns Ending of the attempt.
	 */
	recordUnanswered({ending, absence}: EndedAttempt, upstream: string, isSuspected: boolean): AttemptEnding {
		if (absence !== undefined) {
			this.#recordAbsence(upstream, absence);
			this.#attempts.recordUnreached(upstream);
		} else if (ending.type !== 'not-run') {
			// One that was cancelled before it had a connection says nothing about the upstream.
			this.recordEnding(ending, upstream, isSuspected);
		}

		return ending;
	}

	/**
	 * Handles a response by which an upstream states that it did not run the request; the cause may be a helper engine.
	 *
	 * @param reply - Response.
	 * @param upstream - Upstream of the attempt.
	 * @returns Ending of the attempt.
	 */
	recordNotRun({status, metadata}: Reply, upstream: string): AttemptEnding {
		const faultyEngine = metadata.faultyEngine === undefined ? undefined : this.#gateway.upstreams.findByAddress(metadata.faultyEngine);
		if (faultyEngine !== undefined && faultyEngine.id !== upstream) {
			this.#gateway.recordVerdict(faultyEngine.id, 'unreachable');
			this.#attempts.recordMissingHelper(upstream, faultyEngine.id);
		} else if (metadata.isMisdirected) {
			this.#gateway.recordVerdict(upstream, 'replaced');
			this.#gateway.publishAbsence(upstream, 'replaced');
		} else {
			this.#gateway.recordVerdict(upstream, 'faulty');
		}

		return {type: 'not-run', reason: `refused with ${status} by ${metadata.faultyEngine ?? upstream}`, isShed: !metadata.isMisdirected};
	}

	/**
	 * @param ending - Ending of an attempt that was sent.
	 * @param upstream - Upstream of the attempt.
	 * @param isSuspected - Whether the request was suspected of crashing engines.
	 */
	recordEnding(ending: AttemptEnding, upstream: string, isSuspected: boolean): void {
		const verdict = endingToVerdict(ending);
		if (verdict !== undefined) {
			this.#gateway.recordVerdict(upstream, verdict, verdict === 'broken' && isSuspected);
		}

		if (verdict === 'unreachable') {
			this.#gateway.publishAbsence(upstream, 'silent');
		}
	}

	/** A host that may have lost its link doesn't report the upstream to others. */
	#recordAbsence(upstream: string, {failure, isLinkDoubtful}: ConnectionAbsence): void {
		if (isLinkDoubtful) {
			this.#gateway.recordUnlinked(upstream);
		} else {
			this.#gateway.recordVerdict(upstream, 'unreachable');
			this.#gateway.publishAbsence(upstream, failure);
		}
	}
}
