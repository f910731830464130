/** Checks that a site recovers once the faults of a soak are over, and measures the event loop lag of the soak itself. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Host} from '../gateway/host.js';
import {type Testbed} from './testbed.js';

/** Time after the last fault within which every host serves again and has the final configuration. */
const recoveryTimeoutMs = 15_000;

/** Time within which memory that no host renews is released: the longest hold plus a margin. */
const memoryReleaseTimeoutMs = 6000;

const pollIntervalMs = 20;

/** Log events that show why a host does not serve; the last of them are reported. */
const stateEvents: ReadonlySet<string> = new Set(['configuration', 'store-lost', 'store-regained', 'store-compacted', 'started', 'stopping', 'peer-lost', 'suspected', 'acquitted']);
const maxStateEvents = 10;

/** Measures the event loop lag of this process, by which measured times may be too long. */
export class EventLoopLag implements Disposable {
	/** Longest lag so far, in milliseconds. */
	most = 0;
	#last = performance.now();
	readonly #timer = setInterval(() => {
		const now = performance.now();
		this.most = Math.max(this.most, now - this.#last - pollIntervalMs);
		this.#last = now;
	}, pollIntervalMs);

	[Symbol.dispose](): void {
		clearInterval(this.#timer);
	}
}

async function isMetWithin(timeout: number, isMet: () => boolean | Promise<boolean>): Promise<boolean> {
	for (const end = performance.now() + timeout; performance.now() < end;) {
		if (await isMet()) {
			return true;
		}

		await sleep(pollIntervalMs);
	}

	return false;
}

/** Formats a host's last log lines about its configuration, its dependencies and its requests. */
function formatLastEvents(host: Host): string {
	const last = host.lines.filter(({event}) => stateEvents.has(String(event))).slice(-maxStateEvents);
	return [...last, ...host.findLogLines('ended').slice(-1)].map(line => JSON.stringify(line)).join(' ');
}

/**
 * @param testbed - Testbed whose faults are over.
 * @returns A description of each host that did not recover in time, and of memory still held.
 */
export async function findUnrecovered({site, hasFinalVersion}: Pick<Testbed, 'site' | 'hasFinalVersion'>): Promise<readonly string[]> {
	const found: string[] = [];
	for (const [index, host] of site.hosts.entries()) {
		const hasRecovered = await isMetWithin(recoveryTimeoutMs, async () => {
			const answer = await site.ask({path: '/read/x', id: `after-${index}`, method: 'GET'}, host).catch(() => undefined);
			return answer?.status === 200 && hasFinalVersion(host);
		});
		if (!hasRecovered) {
			found.push(`${host.name} does not serve the final configuration ${recoveryTimeoutMs} ms after the last fault; last log lines: ${formatLastEvents(host)}`);
		}
	}

	const isFree = await isMetWithin(memoryReleaseTimeoutMs, () => site.engines.every(engine => engine.tickets.length === 0));
	return isFree ? found : [...found, `memory is still held at ${site.engines.filter(engine => engine.tickets.length > 0).map(engine => engine.id).join(', ')}`];
}
