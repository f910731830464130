/** Faults that tests switch on at one engine, and how many of each are still due. */
import {z} from 'zod';
import {assertNever} from '../../src/core/index.js';
import {Gate} from '../common/gate.js';
import {millisecondsSchema} from '../common/settings.js';

const count = z.number().int().positive().default(1);

/** Times are real milliseconds. */
export const faultSchema = z.discriminatedUnion('type', [
	/** Drops every connection and loses all state; comes back with a new incarnation, or never. */
	z.object({type: z.literal('crash'), returnAfter: millisecondsSchema.optional()}),
	/** Comes back after a crash that named no time. */
	z.object({type: z.literal('restart')}),
	/** Takes connections and answers nothing until healed. */
	z.object({type: z.literal('hang')}),
	/** Answers everything later. */
	z.object({type: z.literal('late'), delay: millisecondsSchema}),
	/** Sends another attempt's frame in the place of some frames. */
	z.object({type: z.literal('cross'), count}),
	/** Sends some frames twice. */
	z.object({type: z.literal('repeat'), count}),
	/** Sends some frames after the ones that follow them. */
	z.object({type: z.literal('reorder'), count}),
	/** Refuses some runs before running them. */
	z.object({type: z.literal('refuse'), status: z.number().int().min(400).max(599).default(503), count}),
	/** Cuts some streams after a number of frames. */
	z.object({type: z.literal('cut'), afterFrames: z.number().int().nonnegative(), count}),
	/** Crashes when it starts a request whose body contains the marker. */
	z.object({type: z.literal('poison'), marker: z.string().min(1), returnAfter: millisecondsSchema.default(500)}),
	/** Share of cache events that is lost from now on. */
	z.object({type: z.literal('lose-cache-events'), share: z.number().min(0).max(1)}),
	/** Ends every fault but a crash. */
	z.object({type: z.literal('heal')}),
]);

export type Fault = z.infer<typeof faultSchema>;
export type Poison = Extract<Fault, {type: 'poison'}>;

/** How one frame is sent. */
export type FrameFault = 'none' | 'cross' | 'repeat' | 'reorder';

type CountedFault = 'cross' | 'repeat' | 'reorder' | 'refuse' | 'cut';

const noneDue: Readonly<Record<CountedFault, number>> = {
	cross: 0, repeat: 0, reorder: 0, refuse: 0, cut: 0,
};

export class Faults {
	#late = 0;
	#refuseStatus = 0;
	#cutAfter = 0;
	readonly #due: Record<CountedFault, number> = {...noneDue};

	#poisons: Poison[] = [];
	readonly #gate = new Gate();

	get isHanging(): boolean {
		return this.#gate.isShut;
	}

	/** Delay before each answer, in milliseconds. */
	get late(): number {
		return this.#late;
	}

	/**
	 * Switches a fault on. Crashes and lost cache events are the engine's to carry out.
	 *
	 * @param fault - Fault wanted.
	 */
	set(fault: Fault): void {
		switch (fault.type) {
			case 'hang': {
				this.#gate.shut();
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

	/** Waits while the engine hangs. */
	async opened(): Promise<void> {
		await this.#gate.opened();
	}

	/** Takes one refusal that is due, as an HTTP status. */
	takeRefusal(): number | undefined {
		return this.#take('refuse') ? this.#refuseStatus : undefined;
	}

	/** Takes one cut that is due, as the number of frames before it. */
	takeCut(): number | undefined {
		return this.#take('cut') ? this.#cutAfter : undefined;
	}

	/** Takes the fault of the next frame. */
	takeFrameFault(): FrameFault {
		for (const type of ['cross', 'repeat', 'reorder'] as const) {
			if (this.#take(type)) {
				return type;
			}
		}

		return 'none';
	}

	/**
	 * @param body - Request body.
	 * @returns The poison that it contains.
	 */
	poisonIn(body: string): Poison | undefined {
		return this.#poisons.find(each => body.includes(each.marker));
	}

	#take(type: CountedFault): boolean {
		const isDue = this.#due[type] > 0;
		this.#due[type] -= isDue ? 1 : 0;
		return isDue;
	}

	#heal(): void {
		this.#gate.open();
		this.#late = 0;
		this.#poisons = [];
		Object.assign(this.#due, noneDue);
	}
}
