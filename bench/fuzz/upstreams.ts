/** A tiny upstream: runs what it is sent, once per attempt, and may be crashed by it. */
import {type Hold} from '../../src/core/index.js';

export type Run = {
	readonly attempt: string;
	readonly operation: string;
	/** Tells the sender that the connection broke. */
	readonly breakOff: () => void;
};

export class FakeUpstream {
	incarnation = 1;
	isUp = true;
	readonly cancelled = new Set<string>();
	readonly runs = new Map<string, Run>();
	readonly holds = new Map<string, Hold>();

	readonly id: string;
	readonly failureDomain: string;
	readonly port: number;

	constructor(id: string, failureDomain: string, port: number) {
		this.id = id;
		this.failureDomain = failureDomain;
		this.port = port;
	}

	/** Ends: connections break and memory is empty. */
	crash(): void {
		this.isUp = false;
		const runs = [...this.runs.values()];
		this.runs.clear();
		this.holds.clear();
		for (const run of runs) {
			run.breakOff();
		}
	}

	restart(): void {
		this.incarnation++;
		this.isUp = true;
	}
}
