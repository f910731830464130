/** Load updates as changes of load on this host's clock, and as messages. */
import {
	fromWireClaim, fromWireCold, fromWireJob, fromWirePace, fromWireReport, isTag, toWireClaim, toWireCold, toWireJob, toWirePace, toWireReport, toWireSum,
} from '../peers/load-messages.js';
import {type LoadUpdate} from '../peers/messages.js';
import {type JobSum} from '../../core/gateway/limits/job-sums.js';
import {type LoadChanges} from './load-batch.js';

/** Changes as received, before they are compared with what is known. */
export type ReceivedChanges = Omit<LoadChanges, 'changed' | 'fresh'>;

/**
 * @param changes - Changes to send.
 * @param self - Name of this host.
 * @param now - Monotonic time in milliseconds.
 * @param audience - Where the receiver forwards them; absent if they are for the receiver only.
 * @returns The message.
 */
export function encodeChanges(changes: Partial<LoadChanges>, self: string, now: number, audience?: LoadUpdate['audience']): LoadUpdate {
	const {began = [], progressed = [], ended = [], absences = [], returns = [], reports = [], paces = [], claims = []} = changes;
	const statements = reports.filter(report => report.type !== 'cold');
	const cold = reports.filter(report => report.type === 'cold');
	return {
		type: 'load',
		began: began.map(job => toWireJob(job, self, now)),
		progressed: [...progressed],
		ended: [...ended],
		absences: absences.length === 0 ? undefined : [...absences],
		// Rare, and a field that isn't set would take bytes as well.
		...(returns.length > 0 && {returns: [...returns]}),
		reports: statements.length === 0 ? undefined : statements.map(report => toWireReport(report, now)),
		cold: cold.length === 0 ? undefined : cold.map(report => toWireCold(report, now)),
		paces: paces.length === 0 ? undefined : paces.map(pace => toWirePace(pace, now)),
		claims: claims.length === 0 ? undefined : claims.map(claim => toWireClaim(claim, now)),
		audience,
	};
}

/**
 * @param sums - Jobs left out of what a group receives.
 * @returns The message for its hosts.
 */
export function encodeSums(sums: readonly JobSum[]): LoadUpdate {
	return {
		type: 'load', began: [], progressed: [], ended: [], sums: sums.map(sum => toWireSum(sum)),
	};
}

/**
 * @param update - Message.
 * @param sender - Host that sent it.
 * @param now - Monotonic time in milliseconds.
 * @returns Its changes.
 */
export function decodeChanges(update: LoadUpdate, sender: string, now: number): ReceivedChanges {
	return {
		began: update.began.map(wireJob => fromWireJob(wireJob, sender, now)),
		progressed: update.progressed,
		ended: update.ended,
		absences: update.absences ?? [],
		returns: update.returns ?? [],
		reports: [
			...(update.reports ?? []).map(report => fromWireReport(report, now)),
			...(update.cold ?? []).map(report => fromWireCold(report, now)),
		],
		paces: (update.paces ?? []).map(pace => fromWirePace(pace, now)),
		claims: (update.claims ?? []).map(claim => fromWireClaim(claim, now)),
	};
}

/**
 * @param update - Message.
 * @returns Whether one of its jobs has an invalid tag of an organisation.
 */
export function hasInvalidTag({began}: LoadUpdate): boolean {
	return began.some(({organisation}) => organisation !== undefined && !isTag(organisation));
}
