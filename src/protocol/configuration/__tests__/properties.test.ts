import fc from 'fast-check';
import {hasIn, setIn} from 'immutable';
import {describe, expect, it} from 'vitest';
import {codes, type Configuration} from '../../../core/index.js';
import {
	describeChange,
	compareConfigurations,
	parseConfiguration,
	describeWarning,
	findWarnings,
	type ParseResult,
} from '../index.js';
import {baseDocument, createEngine} from './documents.js';

/** A fixed seed, so that every run has the same inputs. */
const runOptions = {seed: 20_261_202, numRuns: 400};

type DocumentPath = ReadonlyArray<string | number>;

/** Lists the path of every value in a document, starting with the document itself. */
function listPaths(value: unknown, path: DocumentPath = []): readonly DocumentPath[] {
	if (typeof value !== 'object' || value === null) {
		return [path];
	}

	const isList = Array.isArray(value);
	return [path, ...Object.entries(value).flatMap(([key, child]) => listPaths(child, [...path, isList ? Number(key) : key]))];
}

const allPaths = listPaths(baseDocument);
const mutatedTexts = fc.array(fc.tuple(fc.nat(allPaths.length - 1), fc.jsonValue()), {minLength: 1, maxLength: 3}).map(changes => {
	let document: unknown = baseDocument;
	for (const [index, value] of changes) {
		const path = allPaths[index]!;
		if (hasIn(document, path)) {
			document = setIn(document, path, value);
		}
	}

	return JSON.stringify(document);
});

function isValidOrCoded(parsed: ParseResult): boolean {
	return parsed.type === 'valid'
		|| (parsed.mistakes.length > 0 && parsed.mistakes.every(({path, code, text}) => path.startsWith('$') && Object.hasOwn(codes, code) && text.endsWith('.')));
}

const names = fc.uniqueArray(fc.string({unit: fc.constantFrom(...'abcxyz019._-'), minLength: 1, maxLength: 12}), {minLength: 1, maxLength: 8});
const hash = fc.string({unit: fc.constantFrom(...'0123456789abcdef'), minLength: 64, maxLength: 64});

const documents: fc.Arbitrary<Configuration> = fc.record({
	revision: fc.integer({min: 1, max: 1_000_000}),
	domains: names,
	organisations: names,
	hashes: fc.uniqueArray(hash, {minLength: 8, maxLength: 8}),
	priority: fc.integer({min: 0, max: 9}),
	most: fc.integer({min: 60_000, max: 9_000_000}),
	keys: fc.uniqueArray(hash, {minLength: 1, maxLength: 2}),
	servedBy: fc.constantFrom('cranberrytide', 'legacy'),
	limits: fc.record({requestsPerSecond: fc.integer({min: 1}), concurrent: fc.integer({min: 1})}, {requiredKeys: []}),
}).map(({revision, domains, organisations, hashes, priority, most, keys, servedBy, limits}) => {
	const parsed = parseConfiguration(JSON.stringify({
		...baseDocument,
		revision,
		failureDomains: [...baseDocument.failureDomains, ...domains.filter(id => !['north', 'south'].includes(id)).map(id => ({id, region: 'r'}))],
		services: [{...baseDocument.services[0], deadline: {default: 60_000, most}}, baseDocument.services[1]],
		organisations: organisations.map((id, index) => ({
			id, keyHashes: [hashes[index]], priority, limits,
		})),
		upstreams: [...baseDocument.upstreams, ...domains.map((id, index) => createEngine(`extra-${id}`, id, 10_000 + index))],
		tokenKeys: keys.map((secret, index) => ({id: `k${index}`, secret})),
		takeovers: [{service: 'check', organisation: organisations[0], servedBy}],
	}));
	if (parsed.type === 'invalid') {
		throw new Error(JSON.stringify(parsed.mistakes));
	}

	return parsed.configuration;
});

describe('parseConfiguration with arbitrary input', () => {
	it('returns a configuration or coded mistakes for any text', () => {
		fc.assert(fc.property(fc.string({unit: 'binary', maxLength: 200}), text => isValidOrCoded(parseConfiguration(text))), runOptions);
	});

	it('returns a configuration or coded mistakes for any JSON', () => {
		fc.assert(fc.property(fc.json({maxDepth: 6}), text => isValidOrCoded(parseConfiguration(text))), runOptions);
	});

	it('returns a configuration or coded mistakes for a document that was changed at any path', () => {
		fc.assert(fc.property(mutatedTexts, text => isValidOrCoded(parseConfiguration(text))), runOptions);
	});

	it('handles deep nesting and the names of prototype members', () => {
		const deep = `${'['.repeat(100_000)}${']'.repeat(100_000)}`;
		expect(isValidOrCoded(parseConfiguration(deep))).toBe(true);
		expect(parseConfiguration(JSON.stringify(baseDocument).replace('{', `{"x":${deep},"__proto__":{"revision":99},`)))
			.toMatchObject({type: 'valid', configuration: {revision: 7}, unknownFields: ['$.x', '$.__proto__']});
	});
});

describe('difference of arbitrary documents', () => {
	it('is empty for a document compared with itself or with a reordered copy', () => {
		fc.assert(fc.property(documents, document => {
			const reordered = {
				...document,
				services: document.services.toReversed(),
				organisations: document.organisations.toReversed(),
				upstreams: document.upstreams.toReversed(),
				failureDomains: document.failureDomains.toReversed(),
			};
			expect(compareConfigurations(document, document)).toEqual([]);
			expect(compareConfigurations(document, reordered)).toEqual([]);
		}), runOptions);
	});

	it('is not empty for documents that differ, and its description contains no secret', () => {
		fc.assert(fc.property(documents, documents, (before, after) => {
			const changes = compareConfigurations(before, after);
			expect(changes.length > 0).toBe(JSON.stringify(before) !== JSON.stringify(after));
			const description = [...changes.map(change => describeChange(change)), ...findWarnings(after, before).map(warning => describeWarning(warning))].join('\n');
			for (const {secret} of [...before.tokenKeys, ...after.tokenKeys]) {
				expect(description).not.toContain(secret);
			}
		}), runOptions);
	});
});
