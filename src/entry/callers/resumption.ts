/** Resumes a stream at its engine for a caller whose connection or entry host failed. */
import {type ServerResponse} from 'node:http';
import {
	codes,
	raise,
	type Ending,
	type Engine,
	type Organisation,
	type Outcome,
	type State,
} from '../../core/index.js';
import {findUpstream} from '../../core/features/configuration/queries.js';
import {formatPosition, verifyPosition, type StreamPosition} from '../../protocol/token.js';
import {resumeOnEngine} from '../../upstream/engine.js';
import {type Clock} from '../clock.js';
import {type Metrics} from '../metrics.js';
import {ignore} from '../ignore.js';
import {Answer} from './answer.js';
import {type Receiver} from './receivers.js';

export type ResumptionOptions = {
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly state: () => State;
};

type ResolvedPosition = StreamPosition & {
	readonly engine: Engine;
	/** Signed part of the position, without the offset. */
	readonly token: string;
};

export class Resumption {
	readonly #options: ResumptionOptions;

	constructor(options: ResumptionOptions) {
		this.#options = options;
	}

	/**
	 * Sends the rest of a stream to a caller.
	 *
	 * @param request - Request id that the response carries.
	 * @param text - Signed position from the caller.
	 * @param organisation - Organisation of the caller; streams of other organisations are refused.
	 * @param response - Response that receives the stream.
	 * @throws Failure `badPosition` or `noUpstream`.
	 */
	async resume(request: string, text: string, organisation: Organisation, response: ServerResponse): Promise<void> {
		const position = this.#resolvePosition(text, organisation);
		const receiver: Receiver = {
			request,
			form: 'stream',
			response,
			frames: [],
		};
		const answer = new Answer(false);
		answer.attach(receiver);
		const ending = await this.#followStream(position, answer, response);
		answer.end({outcome: endingToOutcome(ending)});
	}

	async #followStream(position: ResolvedPosition, answer: Answer, response: ServerResponse): Promise<Ending> {
		const {metrics, clock} = this.#options;
		const {engine, token} = position;
		const controller = new AbortController();
		response.once('close', () => {
			controller.abort();
		});
		return resumeOnEngine({
			address: engine.address,
			attempt: position.attempt,
			body: '',
			priority: 0,
			timeout: position.expires - clock.wall(),
			owner: '',
			isRepeatable: true,
			signal: controller.signal,
		}, position.offset, {
			written: ignore,
			frame: async (offset, data) => answer.push({type: 'frame', position: formatPosition(token, offset + 1), data}),
			stray(reason) {
				metrics.count('frames.stray', 1, {reason});
			},
		});
	}

	#resolvePosition(text: string, organisation: Organisation): ResolvedPosition {
		const verified = this.#verifyPosition(text, organisation);
		return {
			...verified,
			engine: this.#findEngine(verified.upstream),
			token: text.slice(0, text.lastIndexOf(':')),
		};
	}

	#verifyPosition(text: string, organisation: Organisation): StreamPosition {
		const keys = this.#options.state().configuration.inForce?.tokenKeys ?? [];
		const verification = verifyPosition(keys, text, this.#options.clock.wall());
		return verification.type === 'valid' && verification.value.organisation === organisation.id
			? verification.value
			: raise('badPosition');
	}

	#findEngine(id: string): Engine {
		const upstream = findUpstream(this.#options.state(), id);
		return upstream?.kind === 'engine' ? upstream : raise('noUpstream');
	}
}

function endingToOutcome(ending: Ending): Outcome {
	return ending.type === 'done'
		? {type: 'done'}
		: {type: 'unknown', code: codes.streamCut, detail: 'the stream could not be resumed'};
}
