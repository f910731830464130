/** Renders line plots. */
import {init, use} from 'echarts/core.js';
import {LineChart} from 'echarts/charts.js';
import {GridComponent, LegendComponent, TitleComponent} from 'echarts/components.js';
import {SVGRenderer} from 'echarts/renderers.js';

use([LineChart, GridComponent, LegendComponent, TitleComponent, SVGRenderer]);

export type Series = {
	readonly name: string;
	/** Pairs of x and y. */
	readonly points: ReadonlyArray<readonly [number, number]>;
};

export type Plot = {
	readonly title: string;
	readonly x: string;
	readonly y: string;
	readonly series: readonly Series[];
};

const plotSize = {width: 720, height: 420};

/**
 * @returns The plot as an SVG document.
 */
export function renderPlot({title, x, y, series}: Plot): string {
	const chart = init(null, null, {
		renderer: 'svg', ssr: true, ...plotSize,
	});
	try {
		chart.setOption({
			animation: false,
			backgroundColor: '#fff',
			title: {text: title, left: 'center', textStyle: {fontSize: 15}},
			legend: {bottom: 0},
			grid: {
				left: 60, right: 30, top: 50, bottom: 70,
			},
			xAxis: {
				type: 'value', name: x, nameLocation: 'middle', nameGap: 28, scale: true,
			},
			yAxis: {
				type: 'value', name: y, min: 0, max: 1,
			},
			series: series.map(each => ({type: 'line', name: each.name, data: each.points.map(point => [...point])})),
		});
		return chart.renderToSVGString();
	} finally {
		chart.dispose();
	}
}
