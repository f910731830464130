import {expect, it} from 'vitest';
import {drawn} from '../plots.js';

it('a plot is an SVG document that names its axes and series and has their points', () => {
	const svg = drawn({
		title: 'Worth by load', x: 'load', y: 'worth', series: [{name: 'product', points: [[1, 0.99], [2, 0.7]]}, {name: 'least-requests', points: [[1, 0.7], [2, 0.2]]}],
	});
	expect(svg).toMatch(/^<svg /v);
	for (const text of ['Worth by load', 'load', 'worth', 'product', 'least-requests']) {
		expect(svg).toContain(`>${text}</text>`);
	}

	const one = drawn({
		title: 'Worth by load', x: 'load', y: 'worth', series: [{name: 'product', points: [[1, 0.99], [2, 0.7]]}],
	});
	expect(one).not.toContain('least-requests');
	expect(one.length).toBeLessThan(svg.length);
});
