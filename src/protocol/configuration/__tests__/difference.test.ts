import {describe, expect, it} from 'vitest';
import {type Configuration} from '../../../core/index.js';
import {
	describeChange, compareConfigurations, parseConfiguration, findWarnings,
} from '../index.js';
import {baseDocument, formatDocument} from './documents.js';

function parse(overrides: Readonly<Record<string, unknown>> = {}): Configuration {
	const parsed = parseConfiguration(formatDocument(overrides));
	if (parsed.type === 'invalid') {
		throw new Error(JSON.stringify(parsed.mistakes));
	}

	return parsed.configuration;
}

function describeChanges(overrides: Readonly<Record<string, unknown>>): readonly string[] {
	return compareConfigurations(parse(), parse(overrides)).map(change => describeChange(change));
}

function findWarningTypes(overrides: Readonly<Record<string, unknown>>): readonly string[] {
	return findWarnings(parse({revision: 8, ...overrides}), parse()).map(({type}) => type);
}

const [check, reference] = baseDocument.services;
const [daily, weekly] = baseDocument.organisations;
const [k1, k2] = baseDocument.tokenKeys;

describe('difference', () => {
	it('finds no changes in the same document, regardless of the order of its entries', () => {
		expect(describeChanges({})).toEqual([]);
		expect(describeChanges({services: [reference, check], upstreams: baseDocument.upstreams.toReversed()})).toEqual([]);
	});

	it.each([
		[{revision: 8}, 'Document: revision changes from 7 to 8'],
		[{stopRule: {concurrentHosts: 2, concurrentUpstreams: 1}}, 'Document: stopRule.concurrentHosts changes from 1 to 2'],
		[{weightStore: {address: {host: 'h', port: 1}, loadsPerSecond: 3}}, 'Document: weightStore.address.host becomes "h"'],
		[{services: [{...check, deadline: {default: 60_000, most: 7_200_000}}, reference]}, 'Service "check": deadline.most changes from 10 min to 2 h'],
		[{services: [{...check, idempotent: true}, reference]}, 'Service "check": idempotent changes from no to yes'],
		[{services: [check, reference, {...reference, id: 'extra'}]}, 'Adds the service "extra"'],
		[{organisations: [daily]}, 'Removes the organisation "weekly"'],
		[{organisations: [{...daily, keyHashes: ['d'.repeat(64)]}, weekly]}, 'Organisation "daily": keyHashes gains dddddddd… and loses aaaaaaaa…'],
		[{organisations: [{...daily, limits: {concurrent: 4}}, weekly]}, 'Organisation "daily": limits.concurrent becomes 4'],
		[{tokenKeys: [k2, k1]}, 'Tokens are signed with the key "k2" in place of "k1"'],
		[{tokenKeys: [k1, {...k2, secret: '3'.repeat(64)}]}, 'Token key "k2": its secret changes'],
		[{plannedStops: [{id: 'p', target: {kind: 'host', id: 'h'}, notBefore: 9e15}]}, 'Adds the planned stop "p"'],
		[
			{takeovers: [{service: 'check', failureDomain: 'north', servedBy: 'legacy'}]},
			'Service "check" in "north" for every organisation: served by the old endpoint',
		],
	])('describes %j', (overrides, expected) => {
		expect(describeChanges(overrides)[0]).toBe(expected);
	});

	it('contains no secret', () => {
		const secret = '3'.repeat(64);
		const description = describeChanges({tokenKeys: [{...k1, secret}, {id: 'k3', secret}]}).join('\n');
		expect(description).not.toContain('333');
	});
});

describe('warnings', () => {
	it('does not warn of a harmless change', () => {
		expect(findWarningTypes({organisations: [{...daily, weight: 2}, weekly]})).toEqual(['no-engine-to-spare']);
	});

	it.each([
		[{revision: 7}, 'revision-not-higher'],
		[{services: [{...check, idempotent: true}, reference]}, 'service-now-idempotent'],
		[{services: [{...check, deadline: {default: 1, most: 2}}, reference]}, 'deadline-shortened'],
		[{services: [check, reference, {...reference, id: 'extra'}]}, 'service-without-upstream'],
		[{services: [check], upstreams: baseDocument.upstreams.filter(each => each.kind !== 'plain')}, 'service-removed'],
		[{organisations: [daily]}, 'organisation-removed'],
		[{organisations: [{...daily, keyHashes: ['d'.repeat(64)]}, weekly]}, 'keys-replaced-at-once'],
		[{organisations: [{...daily, keyHashes: []}, weekly]}, 'organisation-without-key'],
		[{upstreams: baseDocument.upstreams.filter(each => each.failureDomain !== 'south')}, 'upstreams-halved'],
		[{upstreams: baseDocument.upstreams.map(each => ({...each, fencing: false}))}, 'fencing-changed'],
		[{upstreams: baseDocument.upstreams.map(each => ({...each, address: {...each.address, host: '10.0.0.2'}}))}, 'address-changed'],
		[{tokenKeys: [k2]}, 'token-key-removed-at-once'],
		[{tokenKeys: [{id: 'k3', secret: k1!.secret}, k1]}, 'token-key-signs-at-once'],
		[{tokenKeys: [k1, {...k2, secret: '3'.repeat(64)}]}, 'secret-changed'],
		[{takeovers: [{service: 'check', failureDomain: 'north', servedBy: 'legacy'}]}, 'unrepeatable-service-moved'],
		[{takeovers: [{service: 'check', servedBy: 'legacy'}]}, 'old-endpoint-elsewhere'],
		[{
			takeovers: [
				{service: 'check', failureDomain: 'north', servedBy: 'legacy'},
				{service: 'check', organisation: 'daily', servedBy: 'cranberrytide'},
			],
		}, 'takeovers-disagree'],
		[{
			plannedStops: [{
				id: 'p', target: {kind: 'host', id: 'h'}, notBefore: 0, grace: 1000,
			}],
		}, 'grace-below-deadline'],
	])('warns of %j', (overrides, expected) => {
		expect(findWarningTypes(overrides)).toContain(expected);
	});

	it('does not warn of takeovers that disagree if a third one decides between them', () => {
		expect(findWarningTypes({
			takeovers: [
				{service: 'check', failureDomain: 'north', servedBy: 'legacy'},
				{service: 'check', organisation: 'daily', servedBy: 'cranberrytide'},
				{
					service: 'check', failureDomain: 'north', organisation: 'daily', servedBy: 'legacy',
				},
			],
		})).not.toContain('takeovers-disagree');
	});

	it('does not warn of a key rotation in three steps', () => {
		const steps = [[k1, k2], [k2, k1], [k2]].map((tokenKeys, index) => parse({revision: 8 + index, tokenKeys}));
		const types = steps.slice(1).flatMap((after, index) => findWarnings(after, steps[index]).map(({type}) => type));
		expect(types.filter(type => type.includes('key'))).toEqual([]);
	});
});
