/** Runs the load tool in a separate process, so that it does not share an event loop with this one. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {type LoadResult} from '../load/recorder.js';
import {type ScenarioInput} from '../load/scenario.js';

const loadProgram = path.join(import.meta.dirname, '../load/main.js');

function isResult(value: unknown): value is LoadResult {
	return typeof value === 'object' && value !== null && 'classes' in value && 'outcomes' in value;
}

/**
 * Runs the load tool with a scenario and returns its measurements.
 *
 * @throws Error if it prints no result.
 */
export async function runLoadProcess(scenario: ScenarioInput): Promise<LoadResult> {
	const child = spawn(process.execPath, ['--no-deprecation', loadProgram, '-'], {stdio: 'pipe'});
	const exit = once(child, 'exit');
	child.stdin.end(JSON.stringify(scenario));
	const [output, errors] = await Promise.all([text(child.stdout), text(child.stderr), exit]);
	const result: unknown = output === '' ? undefined : JSON.parse(output);
	if (!isResult(result)) {
		throw new Error(`the load tool failed: ${errors}`);
	}

	return result;
}
