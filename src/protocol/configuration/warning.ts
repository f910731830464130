/** Dangers that an operator should know before a document is published. */
import {assertNever, type Takeover} from '../../core/index.js';
import {durationInWords, scopeInWords} from './words.js';

/** Dangers of a change. */
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

/** Dangers of a document by itself. */
export type StandingWarning
	= | {readonly type: 'old-endpoint-elsewhere'; readonly service: string; readonly failureDomain: string}
		| {readonly type: 'takeovers-disagree'; readonly service: string; readonly failureDomain: string; readonly organisation: string; readonly servedBy: Takeover['servedBy']}
		| {readonly type: 'service-without-upstream'; readonly service: string}
		| {readonly type: 'no-engine-to-spare'; readonly service: string; readonly failureDomain: string; readonly readyEngines: number}
		| {readonly type: 'grace-below-deadline'; readonly stop: string; readonly grace: number; readonly deadline: number}
		| {readonly type: 'organisation-without-key'; readonly organisation: string};

export type Warning = ChangeWarning | StandingWarning;

/**
 * @param warning - A danger.
 * @returns What may happen and, where there is one, the safer way.
 */
export function warningInWords(warning: Warning): string {
	switch (warning.type) {
		case 'revision-not-higher': {
			return `Revision ${warning.after} is not above ${warning.before}: no host will adopt the document.`;
		}

		case 'service-removed': {
			return `The service "${warning.service}" goes: its callers are refused from then on.`;
		}

		case 'service-kind-changed': {
			return `The service "${warning.service}" changes its kind: its callers' requests no longer fit it.`;
		}

		case 'service-now-idempotent': {
			return `Requests of "${warning.service}" that say nothing may be repeated from now on: a payment or booking could run twice.`;
		}

		case 'ticket-rule-relaxed': {
			return `"${warning.service}" no longer asks for a ticket: more requests can end with an unknown outcome.`;
		}

		case 'deadline-shortened': {
			return `"${warning.service}" gives at most ${durationInWords(warning.after)} in place of ${durationInWords(warning.before)}: long work may no longer finish.`;
		}

		case 'organisation-removed': {
			return `The organisation "${warning.organisation}" goes: its keys are refused from then on.`;
		}

		case 'keys-replaced-at-once': {
			return `No key of "${warning.organisation}" stays valid: its callers are refused until they change keys. Add the new key first.`;
		}

		case 'limit-halved': {
			return `The limit ${warning.limit} of "${warning.organisation}" falls from ${warning.before} to ${warning.after}, below half.`;
		}

		case 'failure-domain-removed': {
			return `The failure domain "${warning.failureDomain}" goes: hosts there find no upstreams of their own.`;
		}

		case 'upstreams-halved': {
			return `"${warning.service}" keeps ${warning.after} of ${warning.before} upstreams in "${warning.failureDomain}".`;
		}

		case 'fencing-changed': {
			return warning.fencing
				? `"${warning.upstream}" is now said to refuse old orders. If it does not, a late order can undo a newer one.`
				: `"${warning.upstream}" is now said not to refuse old orders: a late order is repaired, not prevented.`;
		}

		case 'address-changed': {
			return `"${warning.upstream}" gets another address: work that runs at the old one can no longer be resumed or cancelled there.`;
		}

		case 'token-key-removed-at-once': {
			return `The key "${warning.key}" signed until now: its tickets and stream positions are refused. Keep it second until they have expired.`;
		}

		case 'token-key-signs-at-once': {
			return `The key "${warning.key}" signs at once: hosts that adopt the document later refuse its tokens. Add it second first.`;
		}

		case 'secret-changed': {
			return `The secret of "${warning.key}" changes under the same name: tokens in use are refused. Add a new key instead.`;
		}

		case 'unrepeatable-service-moved': {
			return `${scopeInWords(warning.scope)} moves and may not be repeated: `
				+ 'hosts adopt this within seconds of each other, and until then both sides serve it. '
				+ 'Callers must come through cranberrytide alone, which runs each request on one side.';
		}

		default: {
			return standingInWords(warning);
		}
	}
}

function standingInWords(warning: StandingWarning): string {
	switch (warning.type) {
		case 'old-endpoint-elsewhere': {
			return `"${warning.service}" has no old endpoint in "${warning.failureDomain}": hosts there use those of other failure domains and cannot when cut off.`;
		}

		case 'takeovers-disagree': {
			return `For "${warning.organisation}" in "${warning.failureDomain}" two takeovers of "${warning.service}" disagree; that of the organisation counts (served by ${warning.servedBy}).`;
		}

		case 'service-without-upstream': {
			return `The service "${warning.service}" has no upstream: its requests are refused.`;
		}

		case 'no-engine-to-spare': {
			return `In "${warning.failureDomain}" as many engines of "${warning.service}" must stay ready as there are (${warning.readyEngines}): none may stop or change its version.`;
		}

		case 'grace-below-deadline': {
			return `The planned stop "${warning.stop}" gives ${durationInWords(warning.grace)}, but requests may run ${durationInWords(warning.deadline)}: some could be cut.`;
		}

		case 'organisation-without-key': {
			return `The organisation "${warning.organisation}" has no key: nobody can call in its name.`;
		}

		default: {
			return assertNever(warning);
		}
	}
}
