/** Resumes a stream from its engine for a caller that lost its connection or its entry host. */
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
import {upstream as upstreamOf} from '../../core/features/configuration/queries.js';
import {positionOf, verifyPosition, type StreamPosition} from '../../protocol/token.js';
import {resumeOnEngine} from '../../upstream/engine.js';
import {type Clock} from '../clock.js';
import {type Metrics} from '../metrics.js';
import {ignore} from '../ignore.js';
import {Answer} from './answer.js';
import {type Receiver} from './receivers.js';

/** What resuming needs of the daemon. */
export type Ground = {
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly state: () => State;
};

type Position = StreamPosition & {
	readonly engine: Engine;
	/** The signed part, without the offset. */
	readonly token: string;
};

export class Resumption {
	readonly #ground: Ground;

	/**
	 * @param ground - Parts of the daemon.
	 */
	constructor(ground: Ground) {
		this.#ground = ground;
	}

	/**
	 * Follows a stream from a position on until its end.
	 *
	 * @param request - Id for the caller.
	 * @param text - Position as the caller sent it.
	 * @param organisation - Organisation that asks; only its own streams are given.
	 * @param response - Caller.
	 * @throws Failure `badPosition` or `noUpstream`.
	 */
	async run(request: string, text: string, organisation: Organisation, response: ServerResponse): Promise<void> {
		const position = this.#locate(text, organisation);
		const receiver: Receiver = {
			request,
			form: 'stream',
			response,
			frames: [],
		};
		const answer = new Answer(false);
		answer.attach(receiver);
		const ending = await this.#follow(position, answer, response);
		answer.end({outcome: outcomeOf(ending)});
	}

	async #follow(position: Position, answer: Answer, response: ServerResponse): Promise<Ending> {
		const {metrics, clock} = this.#ground;
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
			mayRepeat: true,
			signal: controller.signal,
		}, position.offset, {
			written: ignore,
			frame: async (offset, data) => answer.push({type: 'frame', position: positionOf(token, offset + 1), data}),
			stray(reason) {
				metrics.count('frames.stray', 1, {reason});
			},
		});
	}

	#locate(text: string, organisation: Organisation): Position {
		const verified = this.#verify(text, organisation);
		return {
			...verified,
			engine: this.#engine(verified.upstream),
			token: text.slice(0, text.lastIndexOf(':')),
		};
	}

	#verify(text: string, organisation: Organisation): StreamPosition {
		const keys = this.#ground.state().configuration.inForce?.tokenKeys ?? [];
		const verdict = verifyPosition(keys, text, this.#ground.clock.wall());
		return verdict.type === 'valid' && verdict.value.organisation === organisation.id
			? verdict.value
			: raise('badPosition');
	}

	#engine(id: string): Engine {
		const upstream = upstreamOf(this.#ground.state(), id);
		return upstream?.kind === 'engine' ? upstream : raise('noUpstream');
	}
}

function outcomeOf(ending: Ending): Outcome {
	return ending.type === 'done'
		? {type: 'done'}
		: {type: 'unknown', code: codes.streamCut, detail: 'the stream could not be resumed'};
}
