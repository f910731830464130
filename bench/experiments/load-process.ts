/** Runs the load tool as a process of its own, so that measuring and serving do not share a loop. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {type Result} from '../load/recorder.js';
import {type ScenarioInput} from '../load/scenario.js';

const program = path.join(import.meta.dirname, '../load/main.js');

function isResult(value: unknown): value is Result {
	return typeof value === 'object' && value !== null && 'classes' in value && 'outcomes' in value;
}

/**
 * @param scenario - Scenario.
 * @returns What the load tool measured.
 */
export async function runLoadProcess(scenario: ScenarioInput): Promise<Result> {
	const child = spawn(process.execPath, ['--no-deprecation', program, '-'], {stdio: 'pipe'});
	const exit = once(child, 'exit');
	child.stdin.end(JSON.stringify(scenario));
	const [output, errors] = await Promise.all([text(child.stdout), text(child.stderr), exit]);
	const result: unknown = output === '' ? undefined : JSON.parse(output);
	if (!isResult(result)) {
		throw new Error(`the load tool failed: ${errors}`);
	}

	return result;
}
