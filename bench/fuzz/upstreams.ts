/** A minimal upstream that runs each attempt once and may be crashed by it. */
import {type Hold} from '../../src/core/index.js';

export type RunningAttempt = {
	readonly attempt: string;
	readonly operation: string;
	/** Notifies the sender that the connection broke. */
	readonly breakConnection: () => void;
};

export class FakeUpstream {
	incarnation = 1;
	isUp = true;
	readonly cancelled = new Set<string>();
	readonly runs = new Map<string, RunningAttempt>();
	readonly holds = new Map<string, Hold>();

	readonly id: string;
	readonly failureDomain: string;
	readonly port: number;

	constructor(id: string, failureDomain: string, port: number) {
		this.id = id;
		this.failureDomain = failureDomain;
		this.port = port;
	}

	/** Stops the upstream: its connections break and its holds are lost. */
	crash(): void {
		this.isUp = false;
		const runs = [...this.runs.values()];
		this.runs.clear();
		this.holds.clear();
		for (const run of runs) {
			run.breakConnection();
		}
	}

	restart(): void {
		this.incarnation++;
		this.isUp = true;
	}
}
