/** Passes an engine's frames to the caller and reports the attempt's progress to the core. */
import {formatPosition, signStream} from '../../protocol/token.js';
import {type FrameSink} from '../../upstream/follower.js';
import {type Exchange} from '../callers/exchange.js';
import {type EffectOf, type RelayServices} from './services.js';

/** Tokens between two progress reports of an attempt to the core. */
const progressIntervalTokens = 32;

/** How long a position in a stream stays valid after the request's deadline. */
const positionLifetimeMs = 600_000;

/**
 * @param effect - Effect that sends the attempt.
 * @param exchange - Exchange with the caller.
 * @param services - The daemon's services.
 * @returns A sink for the attempt's frames.
 */
export function createSink(effect: EffectOf<'send'>, exchange: Exchange, services: RelayServices): FrameSink {
	const {attempt} = effect;
	const {dispatch, metrics} = services;
	const {answer} = exchange;
	const token = signStreamToken(effect, exchange, services);
	let unreportedTokens = 0;
	return {
		written() {
			dispatch({type: 'attempt-written', attempt});
		},
		async frame(offset, data) {
			unreportedTokens++;
			if (offset === 0 || unreportedTokens >= progressIntervalTokens) {
				dispatch({type: 'attempt-progressed', attempt, tokens: unreportedTokens});
				unreportedTokens = 0;
			}

			return answer.push({type: 'frame', position: formatPosition(token, offset + 1), data});
		},
		stray(reason) {
			metrics.count('frames.stray', 1, {reason});
		},
	};
}

function signStreamToken({attempt, upstream, deadline}: EffectOf<'send'>, {request}: Exchange, {clock, state}: RelayServices): string {
	const keys = state().configuration.inForce?.tokenKeys ?? [];
	return signStream(keys, {
		service: request.service,
		organisation: request.organisation,
		upstream,
		attempt,
		expires: Math.round(clock.wall() + deadline - clock.now() + positionLifetimeMs),
	});
}
