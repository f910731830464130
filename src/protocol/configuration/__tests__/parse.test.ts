import {createHash} from 'node:crypto';
import {describe, expect, it} from 'vitest';
import {parseConfiguration} from '../index.js';
import {baseDocument, createEngine, formatDocument} from './documents.js';

function findMistakes(document: string) {
	const parsed = parseConfiguration(document);
	return parsed.type === 'valid' ? [] : parsed.mistakes.map(({path, code}) => `${code} ${path}`);
}

describe('parseConfiguration', () => {
	it('returns the configuration with the digest of its text', () => {
		const parsed = parseConfiguration(formatDocument());
		expect(parsed).toMatchObject({type: 'valid', configuration: {revision: 7, stopRule: {concurrentHosts: 1}}, unknownFields: []});
		expect(parsed).toHaveProperty('digest', createHash('sha256').update(formatDocument()).digest('hex'));
	});

	it('refuses a document that is too large before parsing it', () => {
		expect(findMistakes(' '.repeat(1_000_001))).toEqual(['documentTooLarge $']);
		expect(parseConfiguration(formatDocument(), 10)).toMatchObject({type: 'invalid', mistakes: [{code: 'documentTooLarge'}]});
		expect(parseConfiguration('é'.repeat(6), 11)).toMatchObject({mistakes: [{code: 'documentTooLarge'}]});
	});

	it('refuses text that is not JSON', () => {
		expect(findMistakes('{')).toEqual(['badDocument $']);
	});

	it('reports each schema violation with its path', () => {
		const [daily] = baseDocument.organisations;
		expect(findMistakes(formatDocument({revision: 0, organisations: [{...daily, priority: 12}]}))).toEqual([
			'badDocument $.revision',
			'badDocument $.organisations[0].priority',
		]);
	});

	it('limits the list of mistakes', () => {
		const parsed = parseConfiguration(formatDocument({services: Array.from({length: 250}, () => 0)}));
		expect(parsed).toMatchObject({type: 'invalid', further: 150});
	});

	it('lists the unknown fields that it ignores', () => {
		const [check] = baseDocument.services;
		expect(parseConfiguration(formatDocument({takeover: [], services: [{...check, dead: 1}, baseDocument.services[1]]})))
			.toMatchObject({type: 'valid', unknownFields: ['$.services[0].dead', '$.takeover']});
	});

	it.each([
		['upstreams', [createEngine('x', 'west', 1)], ['brokenReference $.upstreams[0].failureDomain']],
		['upstreams', [{...createEngine('x', 'north', 1), service: 'none'}], ['brokenReference $.upstreams[0].service']],
		['upstreams', [{...createEngine('x', 'north', 1), service: 'reference'}], ['brokenReference $.upstreams[0].service']],
		['upstreams', [{...createEngine('x', 'north', 1), target: {model: 'm', version: '1', adapters: ['a', 'a']}}], [
			'brokenReference $.upstreams[0].target.model',
			'duplicateEntry $.upstreams[0].target.adapters[1]',
		]],
		['upstreams', [createEngine('x', 'north', 1), createEngine('x', 'south', 1)], [
			'duplicateEntry $.upstreams[1].id',
			'duplicateEntry $.upstreams[1].address',
		]],
		['organisations', [{id: 'a', keyHashes: ['c'.repeat(64)]}, {id: 'b', keyHashes: ['c'.repeat(64)]}], ['duplicateEntry $.organisations[1].keyHashes[0]']],
		['tokenKeys', [baseDocument.tokenKeys[0], baseDocument.tokenKeys[0]], ['duplicateEntry $.tokenKeys[1].id']],
		['plannedStops', [{id: 'p', target: {kind: 'upstream', id: 'x'}, notBefore: 0}], ['brokenReference $.plannedStops[0].target.id']],
		['plannedStops', [
			{id: 'p', target: {kind: 'host', id: 'h'}, notBefore: 0},
			{id: 'q', target: {kind: 'host', id: 'h'}, notBefore: 5},
		], ['duplicateEntry $.plannedStops[1].target']],
		['takeovers', [{
			service: 'none', failureDomain: 'west', organisation: 'none', servedBy: 'legacy',
		}], [
			'brokenReference $.takeovers[0].service',
			'brokenReference $.takeovers[0].failureDomain',
			'brokenReference $.takeovers[0].organisation',
		]],
		['takeovers', [{service: 'reference', servedBy: 'legacy'}], ['brokenReference $.takeovers[0].servedBy']],
		['takeovers', [
			{service: 'check', failureDomain: 'north', servedBy: 'legacy'},
			{service: 'check', failureDomain: 'north', servedBy: 'cranberrytide'},
		], ['duplicateEntry $.takeovers[1]']],
	])('checks references of %s', (list, value, expected) => {
		expect(findMistakes(formatDocument({[list]: value}))).toEqual(expected);
	});

	it.each([
		[{deadline: {default: 5, most: 4}}, 'impossibleLimit $.services[0].deadline.default'],
		[{lengthClasses: {short: 10, long: 10}}, 'impossibleLimit $.services[0].lengthClasses.short'],
		[{weights: {slowdown: 0, firstToken: 0}}, 'impossibleLimit $.services[0].weights'],
		[{readyEngines: 2}, 'impossibleLimit $.services[0].readyEngines'],
	])('finds limits that cannot be met: %j', (fields, expected) => {
		const [check, reference] = baseDocument.services;
		expect(findMistakes(formatDocument({services: [{...check, ...fields}, reference]}))).toEqual([expected]);
	});

	it('finds engines too small for a short prompt', () => {
		expect(findMistakes(formatDocument({upstreams: [{...createEngine('x', 'north', 1), memory: 4000}]}))).toEqual(['impossibleLimit $.upstreams[0].memory']);
	});
});
