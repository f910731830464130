/** What must hold again once nothing goes wrong any more, and how closely that was watched. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Host} from '../gateway/host.js';
import {type Ground} from './ground.js';

/** Milliseconds after the last mishap within which every host serves again, and knows the newest configuration. */
const recovery = 15_000;

/** Milliseconds within which memory that nobody renews is free again: the longest hold and some. */
const memoryFree = 6000;

const lookInterval = 20;

/** Lines that tell why a host does not serve, and how many of the last ones are told. */
const beliefs: ReadonlySet<string> = new Set(['configuration', 'store-lost', 'store-regained', 'store-compacted', 'started', 'stopping', 'peer-lost', 'suspected', 'acquitted']);
const toldBeliefs = 10;

/** Longest time for which this process did not get to look, in milliseconds. */
export class Lag implements Disposable {
	most = 0;
	#last = performance.now();
	readonly #timer = setInterval(() => {
		const now = performance.now();
		this.most = Math.max(this.most, now - this.#last - lookInterval);
		this.#last = now;
	}, lookInterval);

	[Symbol.dispose](): void {
		clearInterval(this.#timer);
	}
}

async function within(time: number, holds: () => boolean | Promise<boolean>): Promise<boolean> {
	for (const end = performance.now() + time; performance.now() < end;) {
		if (await holds()) {
			return true;
		}

		await sleep(lookInterval);
	}

	return false;
}

/** What a host last said of its configuration, of what it depends on and of requests. */
function lastBeliefs(host: Host): string {
	const last = host.lines.filter(({event}) => beliefs.has(String(event))).slice(-toldBeliefs);
	return [...last, ...host.logged('ended').slice(-1)].map(line => JSON.stringify(line)).join(' ');
}

/**
 * @param ground - The site, its mishaps over.
 * @returns What does not hold again in time.
 */
export async function recovered({site, isCurrent}: Pick<Ground, 'site' | 'isCurrent'>): Promise<readonly string[]> {
	const found: string[] = [];
	for (const [index, host] of site.hosts.entries()) {
		const serves = await within(recovery, async () => {
			const answer = await site.ask({path: '/read/x', id: `after-${index}`, method: 'GET'}, host).catch(() => undefined);
			return answer?.status === 200 && isCurrent(host);
		});
		if (!serves) {
			found.push(`${host.name} does not serve the newest configuration ${recovery} ms after the last mishap; it said ${lastBeliefs(host)}`);
		}
	}

	const isFree = await within(memoryFree, () => site.engines.every(engine => engine.tickets.length === 0));
	return isFree ? found : [...found, `memory is held at ${site.engines.filter(engine => engine.tickets.length > 0).map(engine => engine.id).join(', ')}`];
}
