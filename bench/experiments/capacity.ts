/** What a deployment's engines can just serve, measured on engines that are never idle and take requests directly. */
import {performance} from 'node:perf_hooks';
import {EngineProcess} from '../../stand-ins/engine/process.js';
import {settingsSchema} from '../../stand-ins/engine/settings.js';
import {sendRequest} from '../load/client.js';
import {scenarioSchema} from '../load/scenario.js';
import {contentOf, planTrace} from '../load/trace.js';
import {shapeSchema} from '../fleet/shape.js';
import {scenarioFor, type Deployment} from './scenarios.js';

const concurrent = 64;
const sampleEngines = 4;
const duration = 20_000;
const warmUp = 5000;

/**
 * @param deployment - Deployment.
 * @returns Requests of its mix that all its engines together finish in a real second.
 */
export async function measureCapacity(deployment: Deployment): Promise<number> {
	const shape = shapeSchema.parse(deployment.shape);
	const group = shape.engines[0]!;
	await using engines = await EngineProcess.start(settingsSchema.parse({
		timeScale: shape.timeScale,
		engines: Array.from({length: sampleEngines}, (_, index) => ({
			...group.settings, id: `e${index}`, target: {model: 'm', version: '1'},
		})),
	}));
	const scenario = scenarioSchema.parse(scenarioFor(deployment, engines.hosts.map(host => host.address), {
		seed: 1, textSeed: 0, load: 1, duration: duration * 2,
	}));
	// Prompts beyond one engine's memory need groups of engines, which only entry hosts make.
	const trace = planTrace(scenario).filter(each => each.promptTokens + each.output < group.settings.memory);
	const all = planTrace(scenario).length;
	const start = performance.now();
	let next = 0;
	let work = 0;
	const worker = async () => {
		while (performance.now() - start < duration) {
			const planned = trace[next++ % trace.length]!;
			await sendRequest(planned, scenario, contentOf(planned, scenario));
			const now = performance.now() - start;
			work += now > warmUp && now < duration ? planned.promptTokens : 0;
		}
	};

	await Promise.all(Array.from({length: concurrent * sampleEngines}, async () => worker()));
	const perSecond = work / (duration - warmUp) * 1000 / sampleEngines * group.perDomain * shape.domains.length;
	let mean = 0;
	for (const {promptTokens} of planTrace(scenario)) {
		mean += promptTokens / all;
	}

	return perSecond / mean;
}
