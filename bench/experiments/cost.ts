/** What a daemon spends, read from its own account. */
import {setTimeout as sleep} from 'node:timers/promises';
import got from 'got';
import {z} from 'zod';
import {type Fleet} from '../fleet/fleet.js';

const accountSchema = z.object({
	core: z.record(z.string(), z.object({events: z.number(), milliseconds: z.number()})),
	peerBytes: z.object({sent: z.number(), received: z.number()}),
	platformCalls: z.number(),
	/** Microseconds. */
	processor: z.object({user: z.number(), system: z.number()}),
	memory: z.object({rss: z.number(), heapUsed: z.number()}),
});

type Account = z.infer<typeof accountSchema>;

/** Mean cost of one daemon. */
export type Cost = {
	/** Milliseconds of processor time a second: of the whole process, and within the core. */
	readonly processor: number;
	readonly core: number;
	/** Bytes a second over peer links, both ways. */
	readonly peerBytes: number;
	readonly platformCalls: number;
	/** Megabytes. */
	readonly resident: number;
	readonly heap: number;
};

export type CostName = keyof Cost;
export const costNames: readonly CostName[] = ['processor', 'core', 'peerBytes', 'platformCalls', 'resident', 'heap'];

const million = 1_000_000;
const millisecondsPerSecond = 1000;

async function read(fleet: Fleet): Promise<readonly Account[]> {
	return Promise.all(fleet.hosts.alive.map(async ({admin}) =>
		accountSchema.parse(await got(`http://${admin?.host}:${admin?.port}/admin/cost`).json())));
}

function coreTime({core}: Account): number {
	let sum = 0;
	for (const {milliseconds} of Object.values(core)) {
		sum += milliseconds;
	}

	return sum;
}

function costBetween(before: Account, after: Account, seconds: number): Cost {
	const processor = (account: Account) => (account.processor.user + account.processor.system) / millisecondsPerSecond;
	const bytes = ({peerBytes}: Account) => peerBytes.sent + peerBytes.received;
	return {
		processor: (processor(after) - processor(before)) / seconds,
		core: (coreTime(after) - coreTime(before)) / seconds,
		peerBytes: (bytes(after) - bytes(before)) / seconds,
		platformCalls: (after.platformCalls - before.platformCalls) / seconds,
		resident: after.memory.rss / million,
		heap: after.memory.heapUsed / million,
	};
}

function mean(costs: readonly Cost[]): Cost {
	const total = {
		processor: 0, core: 0, peerBytes: 0, platformCalls: 0, resident: 0, heap: 0,
	};
	for (const cost of costs) {
		for (const name of costNames) {
			total[name] += cost[name] / costs.length;
		}
	}

	return total;
}

/**
 * @param fleet - Fleet.
 * @param milliseconds - How long to measure.
 * @returns Mean cost of its daemons over that time.
 */
export async function measureCost(fleet: Fleet, milliseconds: number): Promise<Cost> {
	const before = await read(fleet);
	await sleep(milliseconds);
	const after = await read(fleet);
	return mean(after.map((account, index) => costBetween(before[index]!, account, milliseconds / millisecondsPerSecond)));
}
