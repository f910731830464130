/** Makes the configuration document of a fleet. */
import {createHash} from 'node:crypto';
import {
	configurationSchema, type Address, type Configuration, type Upstream,
} from '../../src/core/index.js';
import {apiKey, type Shape} from './shape.js';

const millisecondsPerSecond = 1000;

/** Where the processes of a fleet listen. */
export type Addresses = {
	/** By upstream id. */
	readonly upstreams: ReadonlyMap<string, Address>;
	readonly weightStore: Address | undefined;
};

/** An upstream before it has an address. */
export type Member = {
	readonly id: string;
	readonly domain: string;
	readonly service: string;
};

/** Engines of a fleet, by group and failure domain. */
export function enginesOf(shape: Shape): ReadonlyArray<Member & {readonly group: Shape['engines'][number]}> {
	return shape.engines.flatMap(group => shape.domains.flatMap(domain =>
		Array.from({length: group.perDomain}, (_, index) => ({
			id: `${domain}-${group.service}-${index + 1}`, domain, service: group.service, group,
		}))));
}

/** Plain services of a fleet, by group and failure domain. */
export function plainsOf(shape: Shape): ReadonlyArray<Member & {readonly duration: number}> {
	return shape.plains.flatMap(group => shape.domains.flatMap(domain =>
		Array.from({length: group.perDomain}, (_, index) => ({
			id: `${domain}-${group.service}-${index + 1}`, domain, service: group.service, duration: group.duration,
		}))));
}

/**
 * @param shape - Fleet.
 * @param service - Model service.
 * @returns The model it serves.
 */
export function modelOf(shape: Shape, service: string): string {
	const found = shape.services.find(each => each.id === service);
	if (found?.kind !== 'model') {
		throw new TypeError(`no model service ${service}`);
	}

	return found.model;
}

function sha256(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

function upstreamsOf(shape: Shape, addresses: Addresses): readonly Upstream[] {
	const {timeScale} = shape;
	const engines = enginesOf(shape).map(({id, domain, service, group}): Upstream => ({
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
			model: modelOf(shape, service), version: group.version, adapters: [], role: 'mixed',
		},
	}));
	const plains = plainsOf(shape).map(({id, domain, service}): Upstream => ({
		kind: 'plain', id, failureDomain: domain, address: addresses.upstreams.get(id)!, service, concurrent: 64,
	}));
	return [...engines, ...plains];
}

/**
 * @param shape - Fleet.
 * @param addresses - Where its processes listen.
 * @param revision - Revision of the document.
 * @returns The document, checked against its schema.
 */
export function documentOf(shape: Shape, addresses: Addresses, revision: number): Configuration {
	return configurationSchema.parse({
		schema: 1,
		revision,
		failureDomains: shape.domains.map(id => ({id, region: 'region'})),
		services: shape.services,
		organisations: shape.organisations.map(each => ({...each, keyHashes: [sha256(apiKey(each.id))]})),
		upstreams: upstreamsOf(shape, addresses),
		tokenKeys: [{id: 'k1', secret: sha256(`token key ${shape.seed}`)}],
		...(shape.stopRule !== undefined && {stopRule: shape.stopRule}),
		...(addresses.weightStore !== undefined && {
			weightStore: {address: addresses.weightStore, loadsPerSecond: shape.loadsPerSecond ?? millisecondsPerSecond},
		}),
	});
}
