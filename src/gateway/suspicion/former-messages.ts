/** Messages for and from hosts that know of whole requests only, and of no parts of prompts. */
import {toRequestCause, type Cause, type Scope} from '../../core/gateway/suspicion/causes.js';
import {type Crash} from '../../core/gateway/suspicion/crashes.js';
import {type Message} from '../peers/messages.js';
import {type Evidence} from './evidence.js';

/** Broken connections to one upstream within this time have the same id for these hosts. */
const crashWindowMs = 1500;

export type SuspicionMessage = Extract<Message, {readonly type: 'acquittal' | 'crash'}>;

/** Crash under a whole request. */
export type FormerCrash = Extract<Message, {readonly type: 'crash'}>['crash'];

/**
 * @param fingerprint - Fingerprint of the request.
 * @param process - Process that has crashed.
 * @param wallTime - Unix time of the crash in milliseconds.
 * @returns The crash in the form that these hosts know.
 */
export function toFormerCrash(fingerprint: string, {upstream, started}: Pick<Crash, 'started' | 'upstream'>, wallTime: number): FormerCrash {
	return {
		fingerprint, id: `${upstream}.${Math.floor(wallTime / crashWindowMs)}`, upstream, started,
	};
}

/**
 * @param crashes - Known crashes.
 * @param cleared - Causes that were answered.
 * @param toWallTime - Converts monotonic time to Unix time.
 * @returns The crashes that these hosts have to withdraw.
 */
export function listFormerCrashes(crashes: Iterable<Crash>, cleared: readonly Cause[], toWallTime: (at: number) => number): readonly FormerCrash[] {
	const former = new Map<string, FormerCrash>();
	for (const crash of crashes) {
		for (const cause of cleared.filter(each => each.startsWith('request:') && crash.reports.some(report => report.causes.includes(each)))) {
			const each = toFormerCrash(cause.slice('request:'.length), crash, toWallTime(crash.at));
			former.set(`${each.id} ${cause}`, each);
		}
	}

	return [...former.values()];
}

/**
 * @param message - Message of such a host.
 * @param findScope - Returns the service and version of an upstream, if it is known.
 * @param now - Monotonic time in milliseconds.
 * @returns What it says.
 */
export function readFormerMessage(message: SuspicionMessage, findScope: (upstream: string) => Scope | undefined, now: number): readonly Evidence[] {
	if (message.type === 'crash') {
		const {fingerprint, id, upstream, started} = message.crash;
		const scope = findScope(upstream);
		const report = {
			attempt: `${id} ${fingerprint}`, upstream, started, causes: [toRequestCause(fingerprint)], hasBegun: false, sent: now, at: now,
		};
		return scope === undefined ? [] : [{type: 'crash', report: {...report, scope}}];
	}

	return message.crashes.flatMap(({fingerprint, upstream}): readonly Evidence[] => {
		const scope = findScope(upstream);
		return scope === undefined
			? []
			: [{
				type: 'answers', scope, causes: [toRequestCause(fingerprint)], at: now,
			}];
	});
}
