/** Callers that keep using one connection until its process is gone, and note what they saw. */
import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {messageOf, type Random} from '../../src/core/index.js';
import {
	CallFailure, eventsOf, prompt, type Answer, type Asking,
} from '../gateway/asking.js';
import {type Site} from '../gateway/site.js';
import {type Kind, type Result, type Visit} from './promises.js';

/** Milliseconds that the routes of the site allow. */
const limits: Readonly<Record<Kind, number>> = {ask: 8000, once: 1500, read: 1500};

/** Milliseconds after which a caller takes it that nothing will come. */
const patience = 25_000;

/** Milliseconds between two requests of a caller. */
const pause = {least: 5, most: 120};

/** Tokens of usual prompts, and of one in so many that is larger than an engine's memory. */
const usual = {least: 200, most: 20_000};
const large = {least: 110_000, most: 160_000};
const largeShare = 20;

const mostEvents = 40;

type Wanted = Pick<Visit, 'id' | 'kind' | 'expected'> & {readonly asking: Asking};

export class Client {
	readonly visits: Visit[] = [];
	readonly #name: string;
	readonly #site: Site;
	readonly #random: Random;
	#host: number;
	#agent = new Agent({keepAlive: true, maxSockets: 1});
	#sent = 0;

	constructor(name: string, site: Site, random: Random) {
		this.#name = name;
		this.#site = site;
		this.#random = random;
		this.#host = random.integer(0, site.hosts.length - 1);
	}

	/**
	 * @param signal - Ends it once its last answer is there.
	 */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const visit = await this.#visit();
			this.visits.push(visit);
			if (visit.result.type !== 'answered') {
				await this.#move();
			}

			await sleep(this.#random.integer(pause.least, pause.most));
		}

		this.#agent.destroy();
	}

	/** To another host that says it is ready, over a connection of its own. */
	async #move(): Promise<void> {
		this.#agent.destroy();
		this.#agent = new Agent({keepAlive: true, maxSockets: 1});
		const {hosts} = this.#site;
		const next = this.#host + 1;
		for (const index of [...hosts.keys()].map(offset => (next + offset) % hosts.length)) {
			this.#host = index;
			if (await this.#site.isReady(hosts[index]!)) {
				return;
			}
		}
	}

	#want(): Wanted {
		this.#sent++;
		const id = `${this.#name}-${this.#sent}`;
		const kind = (['ask', 'once', 'read'] as const)[this.#random.integer(0, 2)]!;
		if (kind === 'ask') {
			const sizes = this.#random.integer(1, largeShare) === 1 ? large : usual;
			const events = this.#random.integer(1, mostEvents);
			const headers = prompt(this.#random.integer(sizes.least, sizes.most), events);
			return {
				id, kind, expected: events, asking: {path: '/ask/x', id, headers},
			};
		}

		const body = kind === 'once' ? `body of ${id}` : '';
		return {
			id, kind, expected: `answer to ${id}: ${body}`, asking: {
				path: `/${kind}/x`, id, method: kind === 'once' ? 'POST' : 'GET', body: kind === 'once' ? body : undefined,
			},
		};
	}

	async #visit(): Promise<Visit> {
		const {asking, ...wanted} = this.#want();
		const host = this.#host;
		const began = performance.now();
		const result = await this.#ask(asking, wanted.kind);
		return {
			...wanted, host, began, ended: performance.now(), limit: limits[wanted.kind], result,
		};
	}

	async #ask(asking: Asking, kind: Kind): Promise<Result> {
		try {
			const answer = await this.#site.ask({...asking, agent: this.#agent, signal: AbortSignal.timeout(patience)}, this.#site.hosts[this.#host]);
			return {type: 'answered', answer, got: kind === 'ask' ? lengthOf(answer) : answer.body};
		} catch (error) {
			const reason = messageOf(error);
			// Reset while it connected: nothing was sent.
			if (reason.includes('ECONNREFUSED') || reason.startsWith('connect ')) {
				return {type: 'refused'};
			}

			return /abort|timeout/iv.test(reason) ? {type: 'never'} : {type: 'cut', reason, isIdle: error instanceof CallFailure && error.isReused};
		}
	}
}

/** Events of a stream, or -1 if one is missing or comes twice. */
function lengthOf(answer: Answer): number {
	const ids = eventsOf(answer);
	return ids.every((id, index) => id === index + 1) ? ids.length : -1;
}
