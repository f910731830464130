/** News of load: what this host sent, told to its peers, and what they tell. */
import {type Job, type Load} from '../core/gateway/load.js';
import {disturbed} from '../core/gateway/placement.js';
import {type EngineModel} from '../core/gateway/types.js';
import {
	heard, tell, type Host, type LoadNews, type Message, type ToldJob,
} from './peers/messages.js';
import {type Peers} from './peers/peers.js';

/** Milliseconds within which news of load are gathered into one message to peers: under a pass of an engine. */
const tellDelay = 3;

/** Milliseconds after which the jobs of a host that fell silent are forgotten: most answers are over by then. */
const silentJobs = 3000;

/** Milliseconds of reading in one pass from which on streams of the engine are looked at: under it no pause grows too long. */
const warnedReading = 100;

export type NewsOptions = {
	readonly self: string;
	readonly failureDomain: string;
	readonly load: Load;
	readonly peers: Peers;
	readonly now: () => number;
	/** How an engine spends its time, if it is known. */
	readonly modelAt: (upstream: string) => EngineModel | undefined;
};

type Pending = {
	readonly began: ToldJob[];
	readonly progressed: string[];
	readonly ended: string[];
};

export class News {
	readonly #options: NewsOptions;
	/** Own streams that could go on elsewhere, by job. */
	readonly #streams = new Map<string, (loss: number) => void>();
	#pending: Pending | undefined;

	/**
	 * @param options - What is told to whom.
	 */
	constructor(options: NewsOptions) {
		this.#options = options;
	}

	/**
	 * @param job - Job that this host sent.
	 */
	begin(job: Job): void {
		const {load, now} = this.#options;
		load.begin(job, now());
		this.#gather().began.push(tell(job, now()));
		this.#warn(job);
	}

	/**
	 * @param id - Own job whose first byte has come.
	 */
	progress(id: string): void {
		const {load, now} = this.#options;
		load.progress(id, now());
		this.#gather().progressed.push(id);
	}

	/**
	 * @param id - Own job that is over.
	 */
	end(id: string): void {
		const {load, now} = this.#options;
		this.#streams.delete(id);
		load.end(id, now());
		this.#gather().ended.push(id);
	}

	/**
	 * @param id - Own job that is a stream which could go on elsewhere.
	 * @param warn - Told what the stream loses by staying where it is, in requests of usual worth.
	 */
	watchStream(id: string, warn: (loss: number) => void): void {
		this.#streams.set(id, warn);
	}

	/**
	 * @param host - Host that is linked now: it learns all that this one has sent.
	 * @param send - Tells it.
	 */
	joined(host: Host, send: (message: Message) => void): void {
		const {load, now, self} = this.#options;
		load.forgetHost(host.name, now());
		send({
			type: 'load', began: load.jobsOf(self).map(job => tell(job, now())), progressed: [], ended: [],
		});
	}

	/**
	 * @param from - Host that told.
	 * @param news - Its own news, or those of a host of another failure domain.
	 */
	heard(from: Host, news: LoadNews): void {
		const {load, now, peers} = this.#options;
		for (const told of news.began) {
			const job = heard(told, news.origin ?? from.name, now());
			load.begin(job, now());
			this.#warn(job);
		}

		for (const id of news.progressed) {
			load.progress(id, now());
		}

		for (const id of news.ended) {
			load.end(id, now());
		}

		if (news.isForDomain === true) {
			peers.tellDomain({...news, origin: from.name, isForDomain: undefined});
		}
	}

	/**
	 * @param name - Host of another failure domain that a peer of this one has lost.
	 */
	hostLost(name: string): void {
		const {load, now, peers} = this.#options;
		if (!peers.hosts.some(each => each.name === name)) {
			load.forgetHost(name, now());
		}
	}

	/**
	 * @param host - Host that is linked no more.
	 * @param reason - Why.
	 */
	lost(host: Host, reason: string): void {
		const {load, now, peers, failureDomain} = this.#options;
		if (reason === 'released') {
			return;
		}

		if (reason === 'silent') {
			setTimeout(() => {
				this.hostLost(host.name);
			}, silentJobs);
			return;
		}

		load.forgetHost(host.name, now());
		if (peers.isLargeFleet && host.failureDomain !== failureDomain) {
			peers.tellDomain({type: 'host-lost', host: host.name});
		}
	}

	/** Warns own streams of the reading of a new job. */
	#warn(job: Job): void {
		if (job.readPerPass < warnedReading || this.#streams.size === 0) {
			return;
		}

		const {load, now, modelAt} = this.#options;
		for (const upstream of [job.upstream, ...job.helpers]) {
			const model = modelAt(upstream);
			for (const {job: stream, loss} of model === undefined ? [] : disturbed(load.forecast(upstream, model, now()))) {
				this.#streams.get(stream.id)?.(loss);
			}
		}
	}

	/** News that are told to peers together. */
	#gather(): Pending {
		if (this.#pending === undefined) {
			this.#pending = {began: [], progressed: [], ended: []};
			setTimeout(() => {
				const news = this.#pending;
				this.#pending = undefined;
				if (news !== undefined) {
					this.#options.peers.tellLoad(news);
				}
			}, tellDelay);
		}

		return this.#pending;
	}
}
