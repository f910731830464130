/** Finds entries that are named twice and names that stand for nothing. */
import {
	type Configuration,
	type Engine,
	type PlannedStop,
	type Service,
	type Takeover,
	type Upstream,
} from '../../core/index.js';
import {formatPath} from './path.js';
import {type Mistake} from './types.js';

type Path = readonly PropertyKey[];

/**
 * @param configuration - A document of the right shape.
 * @returns Every duplicate and every reference to something that the document does not have.
 */
export function referenceMistakes(configuration: Configuration): readonly Mistake[] {
	const names = namesOf(configuration);
	return [
		...duplicateNames(configuration),
		...duplicateKeyHashes(configuration),
		...duplicateAddresses(configuration),
		...configuration.upstreams.flatMap((upstream, index) => upstreamMistakes(upstream, ['upstreams', index], names)),
		...duplicateStops(configuration),
		...configuration.plannedStops.flatMap((stop, index) => stopMistakes(stop, ['plannedStops', index], names)),
		...duplicateTakeovers(configuration),
		...configuration.takeovers.flatMap((takeover, index) => takeoverMistakes(takeover, ['takeovers', index], names)),
	];
}

type Names = {
	readonly failureDomains: ReadonlySet<string>;
	readonly services: ReadonlyMap<string, Service>;
	readonly organisations: ReadonlySet<string>;
	readonly upstreams: ReadonlySet<string>;
	/** Services that have an old endpoint. */
	readonly legacy: ReadonlySet<string>;
};

function namesOf(configuration: Configuration): Names {
	return {
		failureDomains: new Set(configuration.failureDomains.map(each => each.id)),
		services: new Map(configuration.services.map(each => [each.id, each])),
		organisations: new Set(configuration.organisations.map(each => each.id)),
		upstreams: new Set(configuration.upstreams.map(each => each.id)),
		legacy: new Set(configuration.upstreams
			.filter(each => each.kind === 'legacy')
			.map(each => each.service)),
	};
}

function missing(path: Path, kind: string, id: string): Mistake {
	return {path: formatPath(path), code: 'brokenReference', text: `There is no ${kind} "${id}".`};
}

function duplicate(path: Path, text: string): Mistake {
	return {path: formatPath(path), code: 'duplicateEntry', text};
}

/** Reports each entry whose key an earlier one has. */
function repeated<Entry>(
	entries: ReadonlyArray<readonly [Path, Entry]>,
	keyOf: (entry: Entry) => string,
	text: (key: string) => string,
): readonly Mistake[] {
	const seen = new Set<string>();
	const mistakes: Mistake[] = [];
	for (const [path, entry] of entries) {
		const key = keyOf(entry);
		if (seen.has(key)) {
			mistakes.push(duplicate(path, text(key)));
		}

		seen.add(key);
	}

	return mistakes;
}

const namedLists = ['failureDomains', 'services', 'organisations', 'upstreams', 'tokenKeys', 'plannedStops'] as const;

function duplicateNames(configuration: Configuration): readonly Mistake[] {
	return namedLists.flatMap(list => repeated(
		configuration[list].map(({id}, index) => [[list, index, 'id'], id]),
		id => id,
		id => `"${id}" stands twice in ${list}.`,
	));
}

function duplicateKeyHashes(configuration: Configuration): readonly Mistake[] {
	const hashes = configuration.organisations.flatMap((organisation, index) =>
		organisation.keyHashes.map((hash, place) => [['organisations', index, 'keyHashes', place], hash] as const));
	return repeated(hashes, hash => hash, hash => `The key hash ${hash.slice(0, 8)}… already belongs to an organisation.`);
}

/** Old endpoints may share an address, since one script often serves several services. */
function duplicateAddresses(configuration: Configuration): readonly Mistake[] {
	const addresses = configuration.upstreams.flatMap((upstream, index) => {
		const {address: {host, port}, kind, service} = upstream;
		const scope = kind === 'engine' ? '' : service;
		return kind === 'legacy' ? [] : [[['upstreams', index, 'address'], `${host}:${port} ${scope}`] as const];
	});
	return repeated(addresses, address => address, address => `Another upstream has the address ${address.trim()}.`);
}

function upstreamMistakes(upstream: Upstream, path: Path, names: Names): readonly Mistake[] {
	const mistakes: Mistake[] = [];
	if (!names.failureDomains.has(upstream.failureDomain)) {
		mistakes.push(missing([...path, 'failureDomain'], 'failure domain', upstream.failureDomain));
	}

	const service = names.services.get(upstream.service);
	if (service === undefined) {
		return [...mistakes, missing([...path, 'service'], 'service', upstream.service)];
	}

	if (upstream.kind !== 'legacy' && (upstream.kind === 'engine') !== (service.kind === 'model')) {
		const text = `"${service.id}" is a ${service.kind} service and takes no ${upstream.kind === 'engine' ? 'engine' : 'plain upstream'}.`;
		mistakes.push({path: formatPath([...path, 'service']), code: 'brokenReference', text});
	}

	if (upstream.kind === 'engine') {
		mistakes.push(...targetMistakes(upstream, service, path));
	}

	return mistakes;
}

function targetMistakes({target}: Engine, service: Service, path: Path): readonly Mistake[] {
	if (target === undefined) {
		return [];
	}

	const mistakes: Mistake[] = [];
	if (service.kind === 'model' && target.model !== service.model) {
		const text = `The service "${service.id}" runs the model "${service.model}", not "${target.model}".`;
		mistakes.push({path: formatPath([...path, 'target', 'model']), code: 'brokenReference', text});
	}

	const adapters = target.adapters.map((adapter, index) => [[...path, 'target', 'adapters', index], adapter] as const);
	mistakes.push(...repeated(adapters, adapter => adapter, adapter => `The adapter "${adapter}" stands twice.`));
	return mistakes;
}

function duplicateStops(configuration: Configuration): readonly Mistake[] {
	return repeated(
		configuration.plannedStops.map(({target}, index) => [['plannedStops', index, 'target'], `${target.kind} "${target.id}"`]),
		target => target,
		target => `Another planned stop has the ${target}.`,
	);
}

/** Hosts are not in the document, so only upstreams can be checked. */
function stopMistakes({target}: PlannedStop, path: Path, names: Names): readonly Mistake[] {
	return target.kind === 'upstream' && !names.upstreams.has(target.id)
		? [missing([...path, 'target', 'id'], 'upstream', target.id)]
		: [];
}

function scopeOf({service, failureDomain, organisation}: Takeover): string {
	return JSON.stringify([service, failureDomain, organisation]);
}

function duplicateTakeovers(configuration: Configuration): readonly Mistake[] {
	return repeated(
		configuration.takeovers.map((takeover, index) => [['takeovers', index], takeover]),
		scopeOf,
		() => 'Another takeover has the same service, failure domain and organisation.',
	);
}

function takeoverMistakes(takeover: Takeover, path: Path, names: Names): readonly Mistake[] {
	const {service, failureDomain, organisation, servedBy} = takeover;
	const mistakes: Mistake[] = [];
	if (!names.services.has(service)) {
		mistakes.push(missing([...path, 'service'], 'service', service));
	}

	if (failureDomain !== undefined && !names.failureDomains.has(failureDomain)) {
		mistakes.push(missing([...path, 'failureDomain'], 'failure domain', failureDomain));
	}

	if (organisation !== undefined && !names.organisations.has(organisation)) {
		mistakes.push(missing([...path, 'organisation'], 'organisation', organisation));
	}

	if (mistakes.length > 0 || servedBy !== 'legacy') {
		return mistakes;
	}

	return names.legacy.has(service)
		? []
		: [{
			path: formatPath([...path, 'servedBy']),
			code: 'brokenReference',
			text: `The service "${service}" has no old endpoint.`,
		}];
}
