/** Measures the capacity of a deployment's engines, with requests sent directly to engines that are never idle. */
import {performance} from 'node:perf_hooks';
import {EngineProcess} from '../../stand-ins/engine/process.js';
import {settingsSchema} from '../../stand-ins/engine/settings.js';
import {sendRequest} from '../load/client.js';
import {scenarioSchema} from '../load/scenario.js';
import {buildContent, generateTrace} from '../load/trace.js';
import {fleetShapeSchema} from '../fleet/shape.js';
import {buildScenario, type Deployment} from './scenarios.js';

const concurrencyPerEngine = 64;
const sampledEngines = 4;
const durationMs = 20_000;
const warmUpMs = 5000;

/**
 * @returns Requests of the deployment's mix that all its engines together finish in a real second.
 */
export async function measureCapacity(deployment: Deployment): Promise<number> {
	const shape = fleetShapeSchema.parse(deployment.shape);
	const group = shape.engines[0]!;
	await using engines = await EngineProcess.start(settingsSchema.parse({
		timeScale: shape.timeScale,
		engines: Array.from({length: sampledEngines}, (_, index) => ({
			...group.settings, id: `e${index}`, target: {model: 'm', version: '1'},
		})),
	}));
	const scenario = scenarioSchema.parse(buildScenario(deployment, engines.hosts.map(host => host.address), {
		seed: 1, textSeed: 0, load: 1, duration: durationMs * 2,
	}));
	// Requests that exceed one engine's memory need a group of engines, which only entry hosts form.
	const trace = generateTrace(scenario).filter(each => each.promptTokens + each.output < group.settings.memory);
	const requestCount = generateTrace(scenario).length;
	const start = performance.now();
	let nextRequest = 0;
	let finishedTokens = 0;
	const sendRequests = async () => {
		while (performance.now() - start < durationMs) {
			const planned = trace[nextRequest++ % trace.length]!;
			await sendRequest(planned, scenario, buildContent(planned, scenario));
			const now = performance.now() - start;
			finishedTokens += now > warmUpMs && now < durationMs ? planned.promptTokens : 0;
		}
	};

	await Promise.all(Array.from({length: concurrencyPerEngine * sampledEngines}, async () => sendRequests()));
	const promptTokensPerSecond = finishedTokens / (durationMs - warmUpMs) * 1000 / sampledEngines * group.perDomain * shape.domains.length;
	let meanPromptTokens = 0;
	for (const {promptTokens} of generateTrace(scenario)) {
		meanPromptTokens += promptTokens / requestCount;
	}

	return promptTokensPerSecond / meanPromptTokens;
}
