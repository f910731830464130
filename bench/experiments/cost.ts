/** Measures what a daemon costs in processor time, memory and traffic, from its own `/admin/cost` report. */
import {setTimeout as sleep} from 'node:timers/promises';
import got from 'got';
import {z} from 'zod';
import {type Fleet} from '../fleet/fleet.js';

const costReportSchema = z.object({
	core: z.record(z.string(), z.object({events: z.number(), milliseconds: z.number()})),
	peerBytes: z.object({sent: z.number(), received: z.number()}),
	platformCalls: z.number(),
	/** Microseconds. */
	processor: z.object({user: z.number(), system: z.number()}),
	memory: z.object({rss: z.number(), heapUsed: z.number()}),
});

type CostReport = z.infer<typeof costReportSchema>;

/** Mean cost of one daemon. */
export type Cost = {
	/** Milliseconds of processor time per second, of the whole process and of the core alone. */
	readonly processor: number;
	readonly core: number;
	/** Bytes per second over peer connections, in both directions. */
	readonly peerBytes: number;
	/** Calls per second. */
	readonly platformCalls: number;
	/** Megabytes. */
	readonly resident: number;
	readonly heap: number;
};

export type CostName = keyof Cost;
export const costNames: readonly CostName[] = ['processor', 'core', 'peerBytes', 'platformCalls', 'resident', 'heap'];

const bytesPerMegabyte = 1_000_000;
const millisecondsPerSecond = 1000;

async function fetchCostReports(fleet: Fleet): Promise<readonly CostReport[]> {
	return Promise.all(fleet.hosts.alive.map(async ({admin}) =>
		costReportSchema.parse(await got(`http://${admin?.host}:${admin?.port}/admin/cost`).json())));
}

function sumCoreTime({core}: CostReport): number {
	let sum = 0;
	for (const {milliseconds} of Object.values(core)) {
		sum += milliseconds;
	}

	return sum;
}

function calculateCost(before: CostReport, after: CostReport, seconds: number): Cost {
	const sumProcessorTime = (report: CostReport) => (report.processor.user + report.processor.system) / millisecondsPerSecond;
	const sumPeerBytes = ({peerBytes}: CostReport) => peerBytes.sent + peerBytes.received;
	return {
		processor: (sumProcessorTime(after) - sumProcessorTime(before)) / seconds,
		core: (sumCoreTime(after) - sumCoreTime(before)) / seconds,
		peerBytes: (sumPeerBytes(after) - sumPeerBytes(before)) / seconds,
		platformCalls: (after.platformCalls - before.platformCalls) / seconds,
		resident: after.memory.rss / bytesPerMegabyte,
		heap: after.memory.heapUsed / bytesPerMegabyte,
	};
}

function averageCosts(costs: readonly Cost[]): Cost {
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
 * Measures the mean cost of the daemons of a fleet.
 *
 * @param milliseconds - Length of the measurement.
 */
export async function measureCost(fleet: Fleet, milliseconds: number): Promise<Cost> {
	const before = await fetchCostReports(fleet);
	await sleep(milliseconds);
	const after = await fetchCostReports(fleet);
	return averageCosts(after.map((report, index) => calculateCost(before[index]!, report, milliseconds / millisecondsPerSecond)));
}
