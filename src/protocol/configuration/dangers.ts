/** Dangers of changing from one document to the next. */
import {
	type Configuration,
	type Organisation,
	type Service,
	type Takeover,
} from '../../core/index.js';
import {difference} from './difference.js';
import {groupBy} from './group.js';
import {type Warning} from './warning.js';

/**
 * @param before - The document that is followed.
 * @param after - The document that follows it.
 * @returns Every dangerous change.
 */
export function changeDangers(before: Configuration, after: Configuration): readonly Warning[] {
	return [
		...revisionDangers(before, after),
		...serviceDangers(before, after),
		...organisationDangers(before, after),
		...domainDangers(before, after),
		...upstreamDangers(before, after),
		...keyDangers(before, after),
		...takeoverDangers(before, after),
	];
}

function revisionDangers(before: Configuration, after: Configuration): readonly Warning[] {
	return after.revision > before.revision
		? []
		: [{type: 'revision-not-higher', before: before.revision, after: after.revision}];
}

type Named = {readonly id: string};

function byId<Entry extends Named>(entries: readonly Entry[]): ReadonlyMap<string, Entry> {
	return new Map(entries.map(entry => [entry.id, entry]));
}

function serviceDangers(before: Configuration, after: Configuration): readonly Warning[] {
	const services = byId(after.services);
	return before.services.flatMap(old => {
		const next = services.get(old.id);
		return next === undefined ? [{type: 'service-removed', service: old.id}] : serviceChanges(old, next);
	});
}

function serviceChanges(old: Service, next: Service): readonly Warning[] {
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

function organisationDangers(before: Configuration, after: Configuration): readonly Warning[] {
	const organisations = byId(after.organisations);
	return before.organisations.flatMap(old => {
		const next = organisations.get(old.id);
		return next === undefined
			? [{type: 'organisation-removed', organisation: old.id}]
			: organisationChanges(old, next);
	});
}

const limitNames = ['requestsPerSecond', 'tokensPerSecond', 'concurrent'] as const;

function organisationChanges(old: Organisation, next: Organisation): readonly Warning[] {
	const organisation = next.id;
	const warnings: Warning[] = [];
	const kept = new Set(next.keyHashes);
	if (old.keyHashes.length > 0 && !old.keyHashes.some(hash => kept.has(hash))) {
		warnings.push({type: 'keys-replaced-at-once', organisation});
	}

	for (const limit of limitNames) {
		const earlier = old.limits[limit];
		const later = next.limits[limit];
		if (earlier !== undefined && later !== undefined && later * 2 < earlier) {
			warnings.push({
				type: 'limit-halved', organisation, limit, before: earlier, after: later,
			});
		}
	}

	return warnings;
}

function domainDangers(before: Configuration, after: Configuration): readonly Warning[] {
	const kept = byId(after.failureDomains);
	return before.failureDomains
		.filter(({id}) => !kept.has(id))
		.map(({id}) => ({type: 'failure-domain-removed', failureDomain: id}));
}

function upstreamDangers(before: Configuration, after: Configuration): readonly Warning[] {
	const kept = byId(after.upstreams);
	const warnings: Warning[] = [...halvedUpstreams(before, after)];
	for (const old of before.upstreams) {
		const next = kept.get(old.id);
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

function halvedUpstreams(before: Configuration, after: Configuration): readonly Warning[] {
	const groups = ({upstreams}: Configuration) => groupBy(
		upstreams.filter(each => each.kind !== 'legacy'),
		each => `${each.service}/${each.failureDomain}`,
	);
	const services = byId(after.services);
	const domains = byId(after.failureDomains);
	const later = groups(after);
	return [...groups(before)].flatMap(([key, members]) => {
		const {service, failureDomain} = members[0]!;
		const left = later.get(key)?.length ?? 0;
		return services.has(service) && domains.has(failureDomain) && left * 2 < members.length
			? [{
				type: 'upstreams-halved', service, failureDomain, before: members.length, after: left,
			}]
			: [];
	});
}

function keyDangers(before: Configuration, after: Configuration): readonly Warning[] {
	const earlier = byId(before.tokenKeys);
	const later = byId(after.tokenKeys);
	const signed = before.tokenKeys[0]!;
	const signs = after.tokenKeys[0]!;
	const warnings: Warning[] = [];
	if (!later.has(signed.id)) {
		warnings.push({type: 'token-key-removed-at-once', key: signed.id});
	}

	if (!earlier.has(signs.id)) {
		warnings.push({type: 'token-key-signs-at-once', key: signs.id});
	}

	for (const {id, secret} of after.tokenKeys) {
		const old = earlier.get(id);
		if (old !== undefined && old.secret !== secret) {
			warnings.push({type: 'secret-changed', key: id});
		}
	}

	return warnings;
}

function takeoverDangers(before: Configuration, after: Configuration): readonly Warning[] {
	const services = byId(after.services);
	return difference(before, after).flatMap(change => {
		if (change.type !== 'takeover-changed' || services.get(change.scope.service)?.idempotent !== false) {
			return [];
		}

		const servedBy: Takeover['servedBy'] | 'default' = change.after ?? 'default';
		return [{type: 'unrepeatable-service-moved', scope: change.scope, servedBy}];
	});
}
