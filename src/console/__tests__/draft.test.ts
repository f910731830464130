import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {readValue, showValue, type FieldKind} from '../draft/fields.js';
import {pack, unpack} from '../draft/state.js';
import {html} from '../html.js';

/** The same inputs in every run. */
const fixed = {seed: 20_261_202, numRuns: 300};

const name = fc.string({unit: fc.constantFrom(...'abcXYZ019._-'), minLength: 1});

describe('draft', () => {
	it('travels through a form unchanged', () => {
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
	])('shows and reads back the same value of %j', (kind, values) => {
		fc.assert(fc.property(values, value => {
			expect(readValue(kind, showValue(kind, value))).toEqual(value);
		}), fixed);
	});

	it('keeps what cannot be read', () => {
		expect(readValue({type: 'number'}, 'a lot')).toBe('a lot');
		expect(readValue({type: 'time'}, 'tomorrow')).toBe('tomorrow');
		expect(readValue({type: 'number'}, ' 1_000 000 ')).toBe(1_000_000);
		expect(readValue({type: 'number'}, '')).toBeUndefined();
	});
});

describe('html', () => {
	it('lets no text become markup', () => {
		fc.assert(fc.property(fc.string(), text => {
			const page = html`<p title="${text}">${[html`${text}`]}</p>`.toString();
			expect(page.replaceAll(/[^<>"]/gv, '')).toBe('<""><>');
		}), fixed);
	});
});
