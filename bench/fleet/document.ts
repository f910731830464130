/** Builds the configuration document of a fleet. */
import {createHash} from 'node:crypto';
import {
	configurationSchema, type Address, type Configuration, type Upstream,
} from '../../src/core/index.js';
import {getApiKey, type FleetShape} from './shape.js';

const defaultLoadsPerSecond = 1000;

/** Where the processes of a fleet listen. */
export type FleetAddresses = {
	/** By upstream id. */
	readonly upstreams: ReadonlyMap<string, Address>;
	readonly weightStore: Address | undefined;
};

/** An upstream before it has an address. */
export type PlannedUpstream = {
	readonly id: string;
	readonly domain: string;
	readonly service: string;
};

/** Returns the engines of a fleet, by group and failure domain. */
export function listEngines(shape: FleetShape): ReadonlyArray<PlannedUpstream & {readonly group: FleetShape['engines'][number]}> {
	return shape.engines.flatMap(group => shape.domains.flatMap(domain =>
		Array.from({length: group.perDomain}, (_, index) => ({
			id: `${domain}-${group.service}-${index + 1}`, domain, service: group.service, group,
		}))));
}

/** Returns the plain services of a fleet, by group and failure domain. */
export function listPlainServices(shape: FleetShape): ReadonlyArray<PlannedUpstream & {readonly duration: number}> {
	return shape.plains.flatMap(group => shape.domains.flatMap(domain =>
		Array.from({length: group.perDomain}, (_, index) => ({
			id: `${domain}-${group.service}-${index + 1}`, domain, service: group.service, duration: group.duration,
		}))));
}

/**
 * Returns the model that a model service serves.
 *
 * @throws TypeError if the fleet has no such model service.
 */
export function findModel(shape: FleetShape, service: string): string {
	const found = shape.services.find(each => each.id === service);
	if (found?.kind !== 'model') {
		throw new TypeError(`no model service ${service}`);
	}

	return found.model;
}

function sha256(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

function buildUpstreams(shape: FleetShape, addresses: FleetAddresses): readonly Upstream[] {
	const {timeScale} = shape;
	const engines = listEngines(shape).map(({id, domain, service, group}): Upstream => ({
		kind: 'engine',
		id,
		failureDomain: domain,
		address: addresses.upstreams.get(id)!,
		service,
		memory: group.settings.memory,
		prefillRate: group.settings.prefillRate * timeScale,
		decodeInterval: group.settings.decodeInterval / timeScale,
		batch: group.settings.batch,
		fencing: group.settings.fencing,
		target: {
			model: findModel(shape, service), version: group.version, adapters: [], role: 'mixed',
		},
	}));
	const plainServices = listPlainServices(shape).map(({id, domain, service}): Upstream => ({
		kind: 'plain', id, failureDomain: domain, address: addresses.upstreams.get(id)!, service, concurrent: 64,
	}));
	return [...engines, ...plainServices];
}

/** Returns the configuration document of a fleet, checked against its schema. */
export function buildDocument(shape: FleetShape, addresses: FleetAddresses, revision: number): Configuration {
	return configurationSchema.parse({
		schema: 1,
		revision,
		failureDomains: shape.domains.map(id => ({id, region: 'region'})),
		services: shape.services,
		organisations: shape.organisations.map(each => ({...each, keyHashes: [sha256(getApiKey(each.id))]})),
		upstreams: buildUpstreams(shape, addresses),
		tokenKeys: [{id: 'k1', secret: sha256(`token key ${shape.seed}`)}],
		...(shape.stopRule !== undefined && {stopRule: shape.stopRule}),
		...(addresses.weightStore !== undefined && {
			weightStore: {address: addresses.weightStore, loadsPerSecond: shape.loadsPerSecond ?? defaultLoadsPerSecond},
		}),
	});
}
