/** Finds duplicate entries and references to entries that do not exist. */
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
 * @param configuration - Document that matches the schema.
 * @returns One mistake per duplicate and per broken reference.
 */
export function findReferenceMistakes(configuration: Configuration): readonly Mistake[] {
	const names = collectNames(configuration);
	return [
		...findDuplicateNames(configuration),
		...findDuplicateKeyHashes(configuration),
		...findDuplicateAddresses(configuration),
		...configuration.upstreams.flatMap((upstream, index) => findUpstreamMistakes(upstream, ['upstreams', index], names)),
		...findDuplicateStops(configuration),
		...configuration.plannedStops.flatMap((stop, index) => findStopMistakes(stop, ['plannedStops', index], names)),
		...findDuplicateTakeovers(configuration),
		...configuration.takeovers.flatMap((takeover, index) => findTakeoverMistakes(takeover, ['takeovers', index], names)),
	];
}

type DeclaredNames = {
	readonly failureDomains: ReadonlySet<string>;
	readonly services: ReadonlyMap<string, Service>;
	readonly organisations: ReadonlySet<string>;
	readonly upstreams: ReadonlySet<string>;
	/** Ids of the services that have an old endpoint. */
	readonly legacy: ReadonlySet<string>;
};

function collectNames(configuration: Configuration): DeclaredNames {
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

function createBrokenReference(path: Path, kind: string, id: string): Mistake {
	return {path: formatPath(path), code: 'brokenReference', text: `There is no ${kind} "${id}".`};
}

function createDuplicateEntry(path: Path, text: string): Mistake {
	return {path: formatPath(path), code: 'duplicateEntry', text};
}

/** Reports each entry that has the same key as an earlier one. */
function findDuplicates<Entry>(
	entries: ReadonlyArray<readonly [Path, Entry]>,
	keyOf: (entry: Entry) => string,
	text: (key: string) => string,
): readonly Mistake[] {
	const seen = new Set<string>();
	const mistakes: Mistake[] = [];
	for (const [path, entry] of entries) {
		const key = keyOf(entry);
		if (seen.has(key)) {
			mistakes.push(createDuplicateEntry(path, text(key)));
		}

		seen.add(key);
	}

	return mistakes;
}

const namedLists = ['failureDomains', 'services', 'organisations', 'upstreams', 'tokenKeys', 'plannedStops'] as const;

function findDuplicateNames(configuration: Configuration): readonly Mistake[] {
	return namedLists.flatMap(list => findDuplicates(
		configuration[list].map(({id}, index) => [[list, index, 'id'], id]),
		id => id,
		id => `"${id}" appears twice in ${list}.`,
	));
}

function findDuplicateKeyHashes(configuration: Configuration): readonly Mistake[] {
	const hashes = configuration.organisations.flatMap((organisation, index) =>
		organisation.keyHashes.map((hash, hashIndex) => [['organisations', index, 'keyHashes', hashIndex], hash] as const));
	return findDuplicates(hashes, hash => hash, hash => `The key hash ${hash.slice(0, 8)}… already belongs to an organisation.`);
}

/** Old endpoints may share an address because a single script often serves several services. */
function findDuplicateAddresses(configuration: Configuration): readonly Mistake[] {
	const addresses = configuration.upstreams.flatMap((upstream, index) => {
		const {address: {host, port}, kind, service} = upstream;
		const scope = kind === 'engine' ? '' : service;
		return kind === 'legacy' ? [] : [[['upstreams', index, 'address'], `${host}:${port} ${scope}`] as const];
	});
	return findDuplicates(addresses, address => address, address => `Another upstream has the address ${address.trim()}.`);
}

function findUpstreamMistakes(upstream: Upstream, path: Path, names: DeclaredNames): readonly Mistake[] {
	const mistakes: Mistake[] = [];
	if (!names.failureDomains.has(upstream.failureDomain)) {
		mistakes.push(createBrokenReference([...path, 'failureDomain'], 'failure domain', upstream.failureDomain));
	}

	const service = names.services.get(upstream.service);
	if (service === undefined) {
		return [...mistakes, createBrokenReference([...path, 'service'], 'service', upstream.service)];
	}

	if (upstream.kind !== 'legacy' && (upstream.kind === 'engine') !== (service.kind === 'model')) {
		const text = `"${service.id}" is a ${service.kind} service and takes no ${upstream.kind === 'engine' ? 'engine' : 'plain upstream'}.`;
		mistakes.push({path: formatPath([...path, 'service']), code: 'brokenReference', text});
	}

	if (upstream.kind === 'engine') {
		mistakes.push(...findTargetMistakes(upstream, service, path));
	}

	return mistakes;
}

function findTargetMistakes({target}: Engine, service: Service, path: Path): readonly Mistake[] {
	if (target === undefined) {
		return [];
	}

	const mistakes: Mistake[] = [];
	if (service.kind === 'model' && target.model !== service.model) {
		const text = `The service "${service.id}" runs the model "${service.model}", not "${target.model}".`;
		mistakes.push({path: formatPath([...path, 'target', 'model']), code: 'brokenReference', text});
	}

	const adapters = target.adapters.map((adapter, index) => [[...path, 'target', 'adapters', index], adapter] as const);
	mistakes.push(...findDuplicates(adapters, adapter => adapter, adapter => `The adapter "${adapter}" appears twice.`));
	return mistakes;
}

function findDuplicateStops(configuration: Configuration): readonly Mistake[] {
	return findDuplicates(
		configuration.plannedStops.map(({target}, index) => [['plannedStops', index, 'target'], `${target.kind} "${target.id}"`]),
		target => target,
		target => `Another planned stop has the same target, ${target}.`,
	);
}

/** The document does not list hosts, so only upstreams can be checked. */
function findStopMistakes({target}: PlannedStop, path: Path, names: DeclaredNames): readonly Mistake[] {
	return target.kind === 'upstream' && !names.upstreams.has(target.id)
		? [createBrokenReference([...path, 'target', 'id'], 'upstream', target.id)]
		: [];
}

function formatScope({service, failureDomain, organisation}: Takeover): string {
	return JSON.stringify([service, failureDomain, organisation]);
}

function findDuplicateTakeovers(configuration: Configuration): readonly Mistake[] {
	return findDuplicates(
		configuration.takeovers.map((takeover, index) => [['takeovers', index], takeover]),
		formatScope,
		() => 'Another takeover has the same service, failure domain and organisation.',
	);
}

function findTakeoverMistakes(takeover: Takeover, path: Path, names: DeclaredNames): readonly Mistake[] {
	const {service, failureDomain, organisation, servedBy} = takeover;
	const mistakes: Mistake[] = [];
	if (!names.services.has(service)) {
		mistakes.push(createBrokenReference([...path, 'service'], 'service', service));
	}

	if (failureDomain !== undefined && !names.failureDomains.has(failureDomain)) {
		mistakes.push(createBrokenReference([...path, 'failureDomain'], 'failure domain', failureDomain));
	}

	if (organisation !== undefined && !names.organisations.has(organisation)) {
		mistakes.push(createBrokenReference([...path, 'organisation'], 'organisation', organisation));
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
