import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {parseValue, formatValue, type FieldKind} from '../draft/fields.js';
import {pack, unpack} from '../draft/state.js';
import {html} from '../html.js';

/** A fixed seed, for the same inputs in every run. */
const fixed = {seed: 20_261_202, numRuns: 300};

const name = fc.string({unit: fc.constantFrom(...'abcXYZ019._-'), minLength: 1});

describe('draft', () => {
	it('packs and unpacks text unchanged, in characters that are safe in forms', () => {
		fc.assert(fc.property(fc.string({unit: 'grapheme'}), text => {
			expect(unpack(pack(text))).toBe(text);
			expect(pack(text)).toMatch(/^[\w\-]*$/v);
		}), fixed);
	});

	it.each<[FieldKind, fc.Arbitrary<string | number | boolean | readonly string[]>]>([
		[{type: 'number'}, fc.double({noNaN: true, noDefaultInfinity: true}).map(value => value + 0)],
		[{type: 'yes-no'}, fc.boolean()],
		[{type: 'text'}, name],
		[{type: 'time'}, fc.integer({min: 0, max: 60_000_000}).map(minutes => minutes * 60_000)],
		[{type: 'lines'}, fc.array(name)],
	])('formats a value of %j and parses it back unchanged', (kind, values) => {
		fc.assert(fc.property(values, value => {
			expect(parseValue(kind, formatValue(kind, value))).toEqual(value);
		}), fixed);
	});

	it('keeps text that cannot be parsed', () => {
		expect(parseValue({type: 'number'}, 'a lot')).toBe('a lot');
		expect(parseValue({type: 'time'}, 'tomorrow')).toBe('tomorrow');
		expect(parseValue({type: 'number'}, ' 1_000 000 ')).toBe(1_000_000);
		expect(parseValue({type: 'number'}, '')).toBeUndefined();
	});
});

describe('html', () => {
	it('escapes text so that it never becomes markup', () => {
		fc.assert(fc.property(fc.string(), text => {
			const page = html`<p title="${text}">${[html`${text}`]}</p>`.toString();
			expect(page.replaceAll(/[^<>"]/gv, '')).toBe('<""><>');
		}), fixed);
	});
});
