import {expect, it} from 'vitest';
import {renderPlot} from '../plots.js';

it('renders an SVG document with the title, axes, series names and points', () => {
	const svg = renderPlot({
		title: 'Worth by load', x: 'load', y: 'worth', series: [{name: 'product', points: [[1, 0.99], [2, 0.7]]}, {name: 'least-requests', points: [[1, 0.7], [2, 0.2]]}],
	});
	expect(svg).toMatch(/^<svg /v);
	for (const text of ['Worth by load', 'load', 'worth', 'product', 'least-requests']) {
		expect(svg).toContain(`>${text}</text>`);
	}

	const one = renderPlot({
		title: 'Worth by load', x: 'load', y: 'worth', series: [{name: 'product', points: [[1, 0.99], [2, 0.7]]}],
	});
	expect(one).not.toContain('least-requests');
	expect(one.length).toBeLessThan(svg.length);
});
