/** Jobs for tests. */
import {type Job} from '../../core/gateway/engines/load.js';

/**
 * @param change - Properties that replace the defaults.
 * @returns A job of host `a` that began at time 0.
 */
export function createJob(change: Partial<Job> = {}): Job {
	return {
		id: 'a.1', host: 'a', upstream: 'u', helpers: [], prompt: 1, answer: 1, isHeld: false, read: 0, readPerPass: 0, weight: 1, placing: 'first', began: 0, due: 1, deadline: 1, ...change,
	};
}
