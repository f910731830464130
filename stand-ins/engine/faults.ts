/** Faults that tests inject into an engine, with the number of pending occurrences of each. */
import {z} from 'zod';
import {assertNever} from '../../src/core/index.js';
import {Gate} from '../common/gate.js';
import {millisecondsSchema} from '../common/settings.js';

const count = z.number().int().positive().default(1);

/** Durations are real milliseconds. */
export const faultSchema = z.discriminatedUnion('type', [
	/** Closes every connection and discards all state; restarts as a new incarnation after `returnAfter`, if given. */
	z.object({type: z.literal('crash'), returnAfter: millisecondsSchema.optional()}),
	/** Restarts a crashed engine at once. */
	z.object({type: z.literal('restart')}),
	/** Accepts connections but sends no response until healed. */
	z.object({type: z.literal('hang')}),
	/** Delays every response. */
	z.object({type: z.literal('late'), delay: millisecondsSchema}),
	/** Replaces `count` frames with frames of another attempt. */
	z.object({type: z.literal('cross'), count}),
	/** Sends `count` frames twice. */
	z.object({type: z.literal('repeat'), count}),
	/** Sends `count` frames after the frame that follows them. */
	z.object({type: z.literal('reorder'), count}),
	/** Refuses `count` chat requests before running them. */
	z.object({type: z.literal('refuse'), status: z.number().int().min(400).max(599).default(503), count}),
	/** Cuts `count` streams after `afterFrames` frames. */
	z.object({type: z.literal('cut'), afterFrames: z.number().int().nonnegative(), count}),
	/** Crashes when a request whose body contains the marker starts running. */
	z.object({type: z.literal('poison'), marker: z.string().min(1), returnAfter: millisecondsSchema.default(500)}),
	/** Loses the given fraction of further cache events. */
	z.object({type: z.literal('lose-cache-events'), share: z.number().min(0).max(1)}),
	/** Ends every fault except a crash and lost cache events. */
	z.object({type: z.literal('heal')}),
]);

export type Fault = z.infer<typeof faultSchema>;
export type Poison = Extract<Fault, {type: 'poison'}>;

/** Fault applied to a single frame. */
export type FrameFault = 'none' | 'cross' | 'repeat' | 'reorder';

type CountedFault = 'cross' | 'repeat' | 'reorder' | 'refuse' | 'cut';

const noFaultsDue: Readonly<Record<CountedFault, number>> = {
	cross: 0, repeat: 0, reorder: 0, refuse: 0, cut: 0,
};

export class Faults {
	#late = 0;
	#refuseStatus = 0;
	#cutAfter = 0;
	readonly #due: Record<CountedFault, number> = {...noFaultsDue};

	#poisons: Poison[] = [];
	readonly #gate = new Gate();

	get isHanging(): boolean {
		return this.#gate.isClosed;
	}

	/** Delay before each response, in real milliseconds. */
	get late(): number {
		return this.#late;
	}

	/** Activates a fault. Crashes, restarts and lost cache events are carried out by the caller. */
	activate(fault: Fault): void {
		switch (fault.type) {
			case 'hang': {
				this.#gate.close();
				return;
			}

			case 'late': {
				this.#late = fault.delay;
				return;
			}

			case 'cross':
			case 'repeat':
			case 'reorder': {
				this.#due[fault.type] += fault.count;
				return;
			}

			case 'refuse': {
				this.#refuseStatus = fault.status;
				this.#due.refuse += fault.count;
				return;
			}

			case 'cut': {
				this.#cutAfter = fault.afterFrames;
				this.#due.cut += fault.count;
				return;
			}

			case 'poison': {
				this.#poisons.push(fault);
				return;
			}

			case 'heal': {
				this.#heal();
				return;
			}

			case 'crash':
			case 'restart':
			case 'lose-cache-events': {
				return;
			}

			default: {
				assertNever(fault);
			}
		}
	}

	/** Resolves once the engine no longer hangs. */
	async waitWhileHanging(): Promise<void> {
		await this.#gate.waitUntilOpen();
	}

	/** Consumes one pending refusal and returns its HTTP status. */
	takeRefusal(): number | undefined {
		return this.#takeCounted('refuse') ? this.#refuseStatus : undefined;
	}

	/** Consumes one pending cut and returns the number of frames to send before it. */
	takeCut(): number | undefined {
		return this.#takeCounted('cut') ? this.#cutAfter : undefined;
	}

	/** Consumes and returns the fault of the next frame. */
	takeFrameFault(): FrameFault {
		for (const type of ['cross', 'repeat', 'reorder'] as const) {
			if (this.#takeCounted(type)) {
				return type;
			}
		}

		return 'none';
	}

	/** Returns the first poison whose marker the request body contains. */
	findPoison(body: string): Poison | undefined {
		return this.#poisons.find(each => body.includes(each.marker));
	}

	#takeCounted(type: CountedFault): boolean {
		const isDue = this.#due[type] > 0;
		this.#due[type] -= isDue ? 1 : 0;
		return isDue;
	}

	#heal(): void {
		this.#gate.open();
		this.#late = 0;
		this.#poisons = [];
		Object.assign(this.#due, noFaultsDue);
	}
}
