/** Warnings that an operator should see before publishing a document. */
import {assertNever, type Takeover} from '../../core/index.js';
import {formatDuration, describeScope} from './descriptions.js';

/** Warnings about a change from one document to the next. */
export type ChangeWarning
	= | {readonly type: 'revision-not-higher'; readonly before: number; readonly after: number}
		| {readonly type: 'service-removed'; readonly service: string}
		| {readonly type: 'service-kind-changed'; readonly service: string}
		| {readonly type: 'service-now-idempotent'; readonly service: string}
		| {readonly type: 'ticket-rule-relaxed'; readonly service: string}
		| {readonly type: 'deadline-shortened'; readonly service: string; readonly before: number; readonly after: number}
		| {readonly type: 'organisation-removed'; readonly organisation: string}
		| {readonly type: 'keys-replaced-at-once'; readonly organisation: string}
		| {readonly type: 'limit-halved'; readonly organisation: string; readonly limit: string; readonly before: number; readonly after: number}
		| {readonly type: 'failure-domain-removed'; readonly failureDomain: string}
		| {readonly type: 'upstreams-halved'; readonly service: string; readonly failureDomain: string; readonly before: number; readonly after: number}
		| {readonly type: 'fencing-changed'; readonly upstream: string; readonly fencing: boolean}
		| {readonly type: 'address-changed'; readonly upstream: string}
		| {readonly type: 'token-key-removed-at-once'; readonly key: string}
		| {readonly type: 'token-key-signs-at-once'; readonly key: string}
		| {readonly type: 'secret-changed'; readonly key: string}
		| {readonly type: 'unrepeatable-service-moved'; readonly scope: Omit<Takeover, 'servedBy'>; readonly servedBy: Takeover['servedBy'] | 'default'};

/** Warnings about a single document. */
export type DocumentWarning
	= | {readonly type: 'old-endpoint-elsewhere'; readonly service: string; readonly failureDomain: string}
		| {readonly type: 'takeovers-disagree'; readonly service: string; readonly failureDomain: string; readonly organisation: string; readonly servedBy: Takeover['servedBy']}
		| {readonly type: 'service-without-upstream'; readonly service: string}
		| {readonly type: 'no-engine-to-spare'; readonly service: string; readonly failureDomain: string; readonly readyEngines: number}
		| {readonly type: 'grace-below-deadline'; readonly stop: string; readonly grace: number; readonly deadline: number}
		| {readonly type: 'organisation-without-key'; readonly organisation: string};

export type Warning = ChangeWarning | DocumentWarning;

/**
 * @param warning - Warning to describe.
 * @returns What may happen and, if there is one, a safer alternative.
 */
export function describeWarning(warning: Warning): string {
	switch (warning.type) {
		case 'revision-not-higher': {
			return `Revision ${warning.after} is not above ${warning.before}: no host will adopt the document.`;
		}

		case 'service-removed': {
			return `The service "${warning.service}" is removed: its callers will be refused.`;
		}

		case 'service-kind-changed': {
			return `The service "${warning.service}" changes its kind: requests of its present callers no longer match it.`;
		}

		case 'service-now-idempotent': {
			return `Requests of "${warning.service}" that do not state otherwise may now be repeated: a payment or booking could run twice.`;
		}

		case 'ticket-rule-relaxed': {
			return `"${warning.service}" no longer asks for a ticket: more requests can end with an unknown outcome.`;
		}

		case 'deadline-shortened': {
			return `"${warning.service}" allows at most ${formatDuration(warning.after)} instead of ${formatDuration(warning.before)}: long requests may no longer finish.`;
		}

		case 'organisation-removed': {
			return `The organisation "${warning.organisation}" is removed: its keys will be refused.`;
		}

		case 'keys-replaced-at-once': {
			return `No key of "${warning.organisation}" stays valid: its callers are refused until they change keys. Add the new key first.`;
		}

		case 'limit-halved': {
			return `The limit ${warning.limit} of "${warning.organisation}" falls from ${warning.before} to ${warning.after}, below half.`;
		}

		case 'failure-domain-removed': {
			return `The failure domain "${warning.failureDomain}" is removed: hosts there have no upstreams in their own domain.`;
		}

		case 'upstreams-halved': {
			return `"${warning.service}" keeps ${warning.after} of ${warning.before} upstreams in "${warning.failureDomain}".`;
		}

		case 'fencing-changed': {
			return warning.fencing
				? `"${warning.upstream}" is now declared to refuse old orders. If it does not, a late order can undo a newer one.`
				: `"${warning.upstream}" is now declared not to refuse old orders: a late order is repaired, not prevented.`;
		}

		case 'address-changed': {
			return `"${warning.upstream}" gets another address: requests that run at the old one can no longer be resumed or cancelled there.`;
		}

		case 'token-key-removed-at-once': {
			return `The key "${warning.key}" has signed until now: its tickets and stream positions will be refused. Keep it in second place until they have expired.`;
		}

		case 'token-key-signs-at-once': {
			return `The key "${warning.key}" signs immediately: hosts that have not adopted the document yet refuse its tokens. First add it in second place.`;
		}

		case 'secret-changed': {
			return `The secret of "${warning.key}" changes under the same name: tokens in use are refused. Add a new key instead.`;
		}

		case 'unrepeatable-service-moved': {
			return `${describeScope(warning.scope)} moves to the other system, and its requests may not be repeated: `
				+ 'hosts adopt this within seconds of each other, and until then both systems serve it. '
				+ 'Callers must come through cranberrytide alone, which runs each request on one system.';
		}

		default: {
			return describeDocumentWarning(warning);
		}
	}
}

function describeDocumentWarning(warning: DocumentWarning): string {
	switch (warning.type) {
		case 'old-endpoint-elsewhere': {
			return `"${warning.service}" has no old endpoint in "${warning.failureDomain}": hosts there use old endpoints of other failure domains, which they cannot reach when cut off.`;
		}

		case 'takeovers-disagree': {
			return `For "${warning.organisation}" in "${warning.failureDomain}", two takeovers of "${warning.service}" disagree; the one for the organisation applies (served by ${warning.servedBy}).`;
		}

		case 'service-without-upstream': {
			return `The service "${warning.service}" has no upstream: its requests are refused.`;
		}

		case 'no-engine-to-spare': {
			return `In "${warning.failureDomain}" all engines of "${warning.service}" must stay ready (${warning.readyEngines}): none may stop or change its version.`;
		}

		case 'grace-below-deadline': {
			return `The planned stop "${warning.stop}" allows ${formatDuration(warning.grace)}, but requests may run for ${formatDuration(warning.deadline)}: some could be cut off.`;
		}

		case 'organisation-without-key': {
			return `The organisation "${warning.organisation}" has no key: no caller can use it.`;
		}

		default: {
			return assertNever(warning);
		}
	}
}
