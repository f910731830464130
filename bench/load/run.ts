/** Runs a scenario in an open loop: sends each request at its intended time, whether or not earlier ones have ended. */
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {renderPrompt} from '../../src/protocol/blocks.js';
import {calculateAnswerLength, generateAnswer, digestPrompt} from '../../stand-ins/engine/answer.js';
import {sendRequest, type Ending} from './client.js';
import {Recorder, type LoadResult} from './recorder.js';
import {type Scenario} from './scenario.js';
import {buildContent, generateTrace, type PlannedRequest} from './trace.js';

const millisecondsPerSecond = 1000;
const minSleepMs = 1;

function isCorrectAnswer(planned: PlannedRequest, scenario: Scenario, content: string, ending: Ending): boolean {
	if (scenario.answer === undefined) {
		return true;
	}

	const digest = digestPrompt(renderPrompt([{role: 'user', content}]));
	return ending.content === generateAnswer(digest, calculateAnswerLength(digest, scenario.answer, planned.output));
}

async function runRequest(planned: PlannedRequest, scenario: Scenario, intendedAt: number, recorder: Recorder): Promise<void> {
	const sentAt = performance.now();
	const content = buildContent(planned, scenario);
	const ending = await sendRequest(planned, scenario, content);
	if (planned.at >= scenario.warmUp) {
		recorder.add({
			planned, ending, intendedAt, sentAt, isCorrect: isCorrectAnswer(planned, scenario, content, ending), timeout: scenario.timeout,
		});
	}
}

/**
 * @param scenario - Validated scenario.
 * @returns The measured values.
 */
export async function runLoad(scenario: Scenario): Promise<LoadResult> {
	const recorder = new Recorder();
	const start = performance.now();
	const running: Array<Promise<void>> = [];
	for (const planned of generateTrace(scenario)) {
		const intendedAt = start + planned.at;
		while (performance.now() < intendedAt) {
			await sleep(Math.max(Math.floor(intendedAt - performance.now()), minSleepMs));
		}

		running.push(runRequest(planned, scenario, intendedAt, recorder));
	}

	await Promise.all(running);
	return recorder.result((scenario.duration - scenario.warmUp) / millisecondsPerSecond);
}
