/** Finds dangerous changes from one document to the next. */
import {
	type Configuration,
	type Organisation,
	type Service,
	type Takeover,
} from '../../core/index.js';
import {compareConfigurations} from './difference.js';
import {groupBy} from './group.js';
import {type Warning} from './warning.js';

/**
 * @param before - Previous document.
 * @param after - Next document.
 * @returns One warning per dangerous change.
 */
export function findChangeWarnings(before: Configuration, after: Configuration): readonly Warning[] {
	return [
		...findRevisionWarnings(before, after),
		...findServiceWarnings(before, after),
		...findOrganisationWarnings(before, after),
		...findFailureDomainWarnings(before, after),
		...findUpstreamWarnings(before, after),
		...findTokenKeyWarnings(before, after),
		...findTakeoverWarnings(before, after),
	];
}

function findRevisionWarnings(before: Configuration, after: Configuration): readonly Warning[] {
	return after.revision > before.revision
		? []
		: [{type: 'revision-not-higher', before: before.revision, after: after.revision}];
}

type Named = {readonly id: string};

function indexById<Entry extends Named>(entries: readonly Entry[]): ReadonlyMap<string, Entry> {
	return new Map(entries.map(entry => [entry.id, entry]));
}

function findServiceWarnings(before: Configuration, after: Configuration): readonly Warning[] {
	const services = indexById(after.services);
	return before.services.flatMap(old => {
		const next = services.get(old.id);
		return next === undefined ? [{type: 'service-removed', service: old.id}] : findServiceChangeWarnings(old, next);
	});
}

function findServiceChangeWarnings(old: Service, next: Service): readonly Warning[] {
	const service = next.id;
	const warnings: Warning[] = [];
	if (old.kind !== next.kind) {
		warnings.push({type: 'service-kind-changed', service});
	}

	if (!old.idempotent && next.idempotent) {
		warnings.push({type: 'service-now-idempotent', service});
	}

	if (old.ticketRule === 'ticket' && next.ticketRule === 'key') {
		warnings.push({type: 'ticket-rule-relaxed', service});
	}

	if (next.deadline.most < old.deadline.most) {
		warnings.push({
			type: 'deadline-shortened', service, before: old.deadline.most, after: next.deadline.most,
		});
	}

	return warnings;
}

function findOrganisationWarnings(before: Configuration, after: Configuration): readonly Warning[] {
	const organisations = indexById(after.organisations);
	return before.organisations.flatMap(old => {
		const next = organisations.get(old.id);
		return next === undefined
			? [{type: 'organisation-removed', organisation: old.id}]
			: findOrganisationChangeWarnings(old, next);
	});
}

const limitNames = ['requestsPerSecond', 'tokensPerSecond', 'concurrent'] as const;

function findOrganisationChangeWarnings(old: Organisation, next: Organisation): readonly Warning[] {
	const organisation = next.id;
	const warnings: Warning[] = [];
	const remainingHashes = new Set(next.keyHashes);
	if (old.keyHashes.length > 0 && !old.keyHashes.some(hash => remainingHashes.has(hash))) {
		warnings.push({type: 'keys-replaced-at-once', organisation});
	}

	for (const limit of limitNames) {
		const oldLimit = old.limits[limit];
		const nextLimit = next.limits[limit];
		if (oldLimit !== undefined && nextLimit !== undefined && nextLimit * 2 < oldLimit) {
			warnings.push({
				type: 'limit-halved', organisation, limit, before: oldLimit, after: nextLimit,
			});
		}
	}

	return warnings;
}

function findFailureDomainWarnings(before: Configuration, after: Configuration): readonly Warning[] {
	const remainingDomains = indexById(after.failureDomains);
	return before.failureDomains
		.filter(({id}) => !remainingDomains.has(id))
		.map(({id}) => ({type: 'failure-domain-removed', failureDomain: id}));
}

function findUpstreamWarnings(before: Configuration, after: Configuration): readonly Warning[] {
	const remainingUpstreams = indexById(after.upstreams);
	const warnings: Warning[] = [...findHalvedUpstreams(before, after)];
	for (const old of before.upstreams) {
		const next = remainingUpstreams.get(old.id);
		if (next === undefined) {
			continue;
		}

		if (old.address.host !== next.address.host || old.address.port !== next.address.port) {
			warnings.push({type: 'address-changed', upstream: next.id});
		}

		if (old.kind === 'engine' && next.kind === 'engine' && old.fencing !== next.fencing) {
			warnings.push({type: 'fencing-changed', upstream: next.id, fencing: next.fencing});
		}
	}

	return warnings;
}

function findHalvedUpstreams(before: Configuration, after: Configuration): readonly Warning[] {
	const groupUpstreams = ({upstreams}: Configuration) => groupBy(
		upstreams.filter(each => each.kind !== 'legacy'),
		each => `${each.service}/${each.failureDomain}`,
	);
	const services = indexById(after.services);
	const domains = indexById(after.failureDomains);
	const nextGroups = groupUpstreams(after);
	return [...groupUpstreams(before)].flatMap(([key, members]) => {
		const {service, failureDomain} = members[0]!;
		const remaining = nextGroups.get(key)?.length ?? 0;
		return services.has(service) && domains.has(failureDomain) && remaining * 2 < members.length
			? [{
				type: 'upstreams-halved', service, failureDomain, before: members.length, after: remaining,
			}]
			: [];
	});
}

function findTokenKeyWarnings(before: Configuration, after: Configuration): readonly Warning[] {
	const oldKeys = indexById(before.tokenKeys);
	const nextKeys = indexById(after.tokenKeys);
	const oldSigningKey = before.tokenKeys[0]!;
	const nextSigningKey = after.tokenKeys[0]!;
	const warnings: Warning[] = [];
	if (!nextKeys.has(oldSigningKey.id)) {
		warnings.push({type: 'token-key-removed-at-once', key: oldSigningKey.id});
	}

	if (!oldKeys.has(nextSigningKey.id)) {
		warnings.push({type: 'token-key-signs-at-once', key: nextSigningKey.id});
	}

	for (const {id, secret} of after.tokenKeys) {
		const old = oldKeys.get(id);
		if (old !== undefined && old.secret !== secret) {
			warnings.push({type: 'secret-changed', key: id});
		}
	}

	return warnings;
}

function findTakeoverWarnings(before: Configuration, after: Configuration): readonly Warning[] {
	const services = indexById(after.services);
	return compareConfigurations(before, after).flatMap(change => {
		if (change.type !== 'takeover-changed' || services.get(change.scope.service)?.idempotent !== false) {
			return [];
		}

		const servedBy: Takeover['servedBy'] | 'default' = change.after ?? 'default';
		return [{type: 'unrepeatable-service-moved', scope: change.scope, servedBy}];
	});
}
