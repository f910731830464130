/** What the ends of attempts say: of upstreams, of the request that broke them, and of where it may go next. */
import {verdictOf} from '../core/gateway/health.js';
import {type AttemptEnding} from '../core/gateway/retries.js';
import {type Tries} from '../core/gateway/tries.js';
import {type Ended, type Reply} from './attempt.js';
import {type Gateway} from './gateway.js';

export class Verdicts {
	readonly #gateway: Gateway;
	readonly #tries: Tries;
	readonly #fingerprint: string;

	/**
	 * @param gateway - Told of upstreams.
	 * @param tries - Attempts of the request.
	 * @param fingerprint - Equal for a request that is sent again.
	 */
	constructor(gateway: Gateway, tries: Tries, fingerprint: string) {
		this.#gateway = gateway;
		this.#tries = tries;
		this.#fingerprint = fingerprint;
	}

	/**
	 * @param ended - How an attempt ended without an answer.
	 * @param upstream - Upstream that it went to.
	 * @returns What is true of it.
	 */
	unanswered({ending, absence}: Ended, upstream: string): AttemptEnding {
		if (absence === undefined) {
			this.judge(ending, upstream);
		} else {
			this.#gateway.judge(upstream, 'unreachable');
			this.#gateway.tellAbsence(upstream, absence);
			this.#tries.noteUnreached(upstream);
		}

		return ending;
	}

	/**
	 * Takes the word of an upstream that it did not run the request; an engine that was to help it may be at fault.
	 *
	 * @param reply - What it said.
	 * @param upstream - Upstream.
	 * @returns What is true of the attempt.
	 */
	notRun({status, facts}: Reply, upstream: string): AttemptEnding {
		const culprit = facts.culprit === undefined ? undefined : this.#gateway.upstreams.at(facts.culprit);
		if (culprit !== undefined && culprit.id !== upstream) {
			this.#gateway.judge(culprit.id, 'unreachable');
			this.#tries.noteMissedHelper(upstream, culprit.id);
		} else if (facts.isMisdirected) {
			this.#gateway.judge(upstream, 'replaced');
			this.#gateway.tellAbsence(upstream, 'replaced');
		} else {
			this.#gateway.judge(upstream, 'faulty');
		}

		return {type: 'not-run', reason: `refused with ${status} by ${facts.culprit ?? upstream}`, isShed: !facts.isMisdirected};
	}

	/**
	 * @param ending - How an attempt ended that was sent.
	 * @param upstream - Upstream that it went to.
	 */
	judge(ending: AttemptEnding, upstream: string): void {
		const verdict = verdictOf(ending);
		if (verdict !== undefined) {
			this.#gateway.judge(upstream, verdict);
		}

		if (verdict === 'unreachable') {
			this.#gateway.tellAbsence(upstream, 'silent');
		}

		if (ending.type === 'unknown') {
			this.#gateway.convictions.suspect(this.#fingerprint, upstream);
		}
	}
}
