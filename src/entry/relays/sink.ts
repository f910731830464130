/** Takes an engine's frames: passes them to callers and tells the core how far they are. */
import {positionOf, signStream} from '../../protocol/token.js';
import {type Sink} from '../../upstream/follower.js';
import {type Exchange} from '../callers/exchange.js';
import {type EffectOf, type Surroundings} from './surroundings.js';

/** Tokens after which the core hears of an attempt's progress again. */
const progressStep = 32;

/** How long a position in a stream stays valid after its request's deadline, in milliseconds. */
const positionLife = 600_000;

/**
 * @param effect - Attempt as it is sent.
 * @param exchange - Its request.
 * @param surroundings - Parts of the daemon.
 * @returns Takes the attempt's frames.
 */
export function createSink(effect: EffectOf<'send'>, exchange: Exchange, surroundings: Surroundings): Sink {
	const {attempt} = effect;
	const {dispatch, metrics} = surroundings;
	const {answer} = exchange;
	const token = streamToken(effect, exchange, surroundings);
	let pending = 0;
	return {
		written() {
			dispatch({type: 'attempt-written', attempt});
		},
		async frame(offset, data) {
			pending++;
			if (offset === 0 || pending >= progressStep) {
				dispatch({type: 'attempt-progressed', attempt, tokens: pending});
				pending = 0;
			}

			return answer.push({type: 'frame', position: positionOf(token, offset + 1), data});
		},
		stray(reason) {
			metrics.count('frames.stray', 1, {reason});
		},
	};
}

function streamToken({attempt, upstream, deadline}: EffectOf<'send'>, {request}: Exchange, {clock, state}: Surroundings): string {
	const keys = state().configuration.inForce?.tokenKeys ?? [];
	return signStream(keys, {
		service: request.service,
		organisation: request.organisation,
		upstream,
		attempt,
		expires: Math.round(clock.wall() + deadline - clock.now() + positionLife),
	});
}
