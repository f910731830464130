/**
 * News of load: what this host sent, told to its peers, and what they tell. In a small fleet each host tells each other one.
 * In a large one it tells the relay of its failure domain, which tells the relays of the other domains at once, and the hosts of its
 * own when they decide, when they may have to move a request, and otherwise now and then. Answers hundreds of hosts that each serve
 * one or two requests a second: most of what happens elsewhere matters to them only when the next one comes.
 */
import {holdsAt, type Absence} from '../core/gateway/absences.js';
import {type Job, type Load} from '../core/gateway/load.js';
import {harmfulReading, isToYield, mayMove} from '../core/gateway/moves.js';
import {disturbed} from '../core/gateway/losses.js';
import {type EngineModel} from '../core/gateway/types.js';
import {Bundle, type Changes} from './bundle.js';
import {Inquiry} from './inquiry.js';
import {
	heard, tell, type Host, type HostsLost, type LoadNews, type LoadTold, type LoadWanted, type Message,
} from './peers/messages.js';
import {type Peers} from './peers/peers.js';

/** Milliseconds within which news of load are gathered into one message: under a pass of an engine. */
const tellDelay = 3;

/** Milliseconds within which a relay gathers what it tells the other domains: who knows less of other hosts chooses worse. */
const relayDelay = 8;

/**
 * Milliseconds within which a relay gathers news for its own domain, and for which what it gathered waits for others to the same host,
 * where nobody asks for them.
 */
const domainDelay = 50;
const linkDelay = 50;

/** Milliseconds after which the jobs of a host that fell silent are forgotten: most answers are over by then. */
const silentJobs = 3000;

export type NewsOptions = {
	readonly self: string;
	readonly failureDomain: string;
	readonly load: Load;
	readonly peers: Peers;
	readonly now: () => number;
	/** How an engine spends its time, if it is known. */
	readonly modelAt: (upstream: string) => EngineModel | undefined;
	/** A peer has found an upstream not to be there. */
	readonly absent: (absence: Absence) => void;
	/** Another host of this failure domain has sent a request. */
	readonly sent: (job: Job) => void;
};

/** What news may tell of a job that could go on elsewhere. */
export type Moves = {
	/** Another one was first at an engine of it. */
	readonly met: () => void;
	/** A long prompt will be read at the engine that writes it: what it loses by staying, in requests of usual worth. */
	readonly disturbed: (loss: number) => void;
};

export class News {
	readonly #options: NewsOptions;
	/** Own jobs that could go on elsewhere. */
	readonly #movable = new Map<string, Moves>();
	/** What this host did. */
	readonly #own = new Bundle(tellDelay, changes => {
		this.#tellOwn(changes);
	});

	/** What this host, as a relay, passes on to its failure domain, and to the others. */
	readonly #forDomain = new Bundle(domainDelay, changes => {
		this.#options.peers.tellDomain(this.#message(changes), linkDelay);
	});

	readonly #forOthers = new Bundle(relayDelay, changes => {
		this.#options.peers.tellForeign(this.#message(changes, 'domain'));
	});

	readonly #inquiry = new Inquiry((relay, ask) => {
		this.#options.peers.send(relay, {type: 'load-wanted', ask});
	});

	/** Relay that knows all that this host has sent; undefined if that is this host. */
	#informed: string | undefined;

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
		this.#own.add({began: [job]});
		this.#warn(job);
	}

	/**
	 * @param id - Own job whose first byte has come.
	 */
	progress(id: string): void {
		const {load, now} = this.#options;
		load.progress(id, now());
		this.#own.add({progressed: [id]});
	}

	/**
	 * @param id - Own job that is over.
	 */
	end(id: string): void {
		const {load, now} = this.#options;
		this.#movable.delete(id);
		load.end(id, now());
		this.#own.add({ended: [id]});
	}

	/**
	 * @param absence - Upstream that this host has found not to be there.
	 */
	tellAbsence(absence: Absence): void {
		this.#own.add({absences: [absence]});
	}

	/**
	 * @param id - Own job that could go on elsewhere.
	 * @param moves - Told of news that speak for it.
	 */
	watch(id: string, moves: Moves): void {
		this.#movable.set(id, moves);
	}

	/**
	 * @param host - Host that is linked now: it learns what it cannot learn from others.
	 * @param send - Tells it.
	 */
	joined(host: Host, send: (message: Message) => void): void {
		const {load, now, self, peers, failureDomain} = this.#options;
		if (!peers.isLargeFleet) {
			load.forgetHost(host.name, now());
			send(this.#message({began: load.jobsOf(self)}));
			return;
		}

		const relay = this.#relay();
		if (relay === host.name) {
			this.#inform(relay);
		} else if (relay === undefined && host.failureDomain === failureDomain) {
			send(this.#message({began: load.all.filter(job => job.host !== host.name)}));
		} else if (relay === undefined) {
			const own = new Set([self, ...peers.hostsOf(failureDomain)]);
			send(this.#message({began: load.all.filter(job => own.has(job.host))}, 'domain'));
		}
	}

	/** Learns what the relay knows, where news come through one; settles within a bounded time. */
	async refresh(): Promise<void> {
		const relay = this.#options.peers.isLargeFleet ? this.#relay() : undefined;
		if (relay !== undefined) {
			await this.#inquiry.ask(relay);
		}
	}

	/**
	 * Tells a host what this one knows, then that it has.
	 *
	 * @param from - Host that asks.
	 * @param wanted - Its question.
	 */
	wanted(from: Host, {ask}: LoadWanted): void {
		this.#own.flush();
		this.#forDomain.flush();
		this.#options.peers.send(from.name, {type: 'load-told', ask});
	}

	/**
	 * @param from - Relay that answers a question.
	 * @param told - Its answer.
	 */
	told(from: Host, told: LoadTold): void {
		this.#inquiry.answered(from.name, told);
	}

	/**
	 * @param from - Host that told.
	 * @param news - News of its own, or of others that it passes on.
	 */
	heard(from: Host, news: LoadNews): void {
		const {load, now, self} = this.#options;
		const began = news.began.map(told => heard(told, from.name, now())).filter(job => job.host !== self);
		this.#noteSent(began);
		for (const job of began) {
			load.begin(job, now());
			this.#warn(job);
			this.#yield(job);
		}

		for (const id of news.progressed) {
			load.progress(id, now());
		}

		for (const id of news.ended) {
			load.end(id, now());
		}

		const absences = (news.absences ?? []).filter(absence => holdsAt(absence, from.failureDomain, this.#options.failureDomain));
		for (const absence of absences) {
			this.#options.absent(absence);
		}

		this.#passOn({
			began, progressed: news.progressed, ended: news.ended, absences,
		}, news.audience);
	}

	/**
	 * @param news - Hosts that a peer has lost; those that are linked with this one live.
	 */
	heardLost({hosts, audience}: HostsLost): void {
		this.#forgetUnlinked(hosts, audience);
	}

	/**
	 * @param host - Host that is linked no more.
	 * @param reason - Why.
	 */
	lost(host: Host, reason: string): void {
		const {peers, failureDomain} = this.#options;
		if (reason === 'released') {
			return;
		}

		if (reason !== 'silent') {
			this.#forget([host.name], 'fleet');
			return;
		}

		setTimeout(() => {
			const isDomain = peers.isLargeFleet && host.failureDomain !== failureDomain;
			if (!isDomain) {
				this.#forgetUnlinked([host.name], 'fleet');
			} else if (!peers.hosts.some(each => each.failureDomain === host.failureDomain)) {
				this.#forgetUnlinked(peers.hostsOf(host.failureDomain), 'domain');
			}
		}, silentJobs);
	}

	#forgetUnlinked(hosts: readonly string[], audience: HostsLost['audience']): void {
		const linked = new Set(this.#options.peers.hosts.map(host => host.name));
		this.#forget(hosts.filter(name => !linked.has(name)), audience);
	}

	/** Forgets the jobs of hosts that are gone, and tells those who can't know it. */
	#forget(hosts: readonly string[], audience: HostsLost['audience']): void {
		const {load, now, peers} = this.#options;
		for (const name of hosts) {
			load.forgetHost(name, now());
		}

		if (hosts.length === 0 || audience === undefined || !peers.isLargeFleet) {
			return;
		}

		peers.tellDomain({type: 'hosts-lost', hosts: [...hosts]});
		if (audience === 'fleet') {
			peers.tellForeign({type: 'hosts-lost', hosts: [...hosts], audience: 'domain'});
		}
	}

	/** Notes what other hosts of this failure domain have sent, once for each job though news may come over two ways. */
	#noteSent(began: readonly Job[]): void {
		if (began.length === 0) {
			return;
		}

		const {load, peers, failureDomain, sent} = this.#options;
		const neighbours = new Set(peers.hostsOf(failureDomain));
		for (const job of began) {
			if (neighbours.has(job.host) && !load.isKnown(job.id)) {
				sent(job);
			}
		}
	}

	/** Warns own streams of the reading of a new job. */
	#warn(job: Job): void {
		if (job.readPerPass < harmfulReading || this.#movable.size === 0) {
			return;
		}

		const {load, now, modelAt} = this.#options;
		for (const upstream of [job.upstream, ...job.helpers]) {
			const model = modelAt(upstream);
			for (const {job: stream, loss} of model === undefined ? [] : disturbed(load.forecast(upstream, model, now()))) {
				this.#movable.get(stream.id)?.disturbed(loss);
			}
		}
	}

	/** Lets own jobs look for another place that met this one at an engine. */
	#yield(other: Job): void {
		const {load, now} = this.#options;
		for (const [id, {met}] of this.#movable) {
			const own = load.job(id);
			if (own !== undefined && isToYield(own, other, now())) {
				met();
			}
		}
	}

	/** Relay of this failure domain; undefined if that is this host. */
	#relay(): string | undefined {
		const {peers, self} = this.#options;
		const [first] = peers.relays;
		return first === self ? undefined : first;
	}

	#tellOwn(changes: Changes): void {
		const {peers} = this.#options;
		if (!peers.isLargeFleet) {
			peers.broadcast(this.#message(changes));
			peers.noteLoad();
			return;
		}

		const relay = this.#relay();
		if (relay !== this.#informed) {
			this.#inform(relay);
		}

		if (relay === undefined) {
			this.#passOn(changes, 'fleet');
		} else {
			peers.send(relay, this.#message(changes, 'fleet'));
		}
	}

	/** Tells a new relay all that this host has sent: the one before may not have passed everything on. */
	#inform(relay: string | undefined): void {
		const {load, peers, self} = this.#options;
		this.#informed = relay;
		if (relay !== undefined) {
			peers.send(relay, this.#message({began: load.jobsOf(self)}, 'fleet'));
		}
	}

	#passOn(changes: Changes, audience: LoadNews['audience']): void {
		if (audience === undefined) {
			return;
		}

		this.#forDomain.add(changes);
		if (audience === 'fleet') {
			this.#forOthers.add({...changes, absences: changes.absences.filter(absence => absence.isForAll)});
		}

		this.#hurry(changes.began);
	}

	/** Tells at once the hosts that may have to move a request because of what has begun. */
	#hurry(began: readonly Job[]): void {
		const {load, peers, now} = this.#options;
		const concerned = new Set(began.flatMap(job => load.companions(job).filter(each => mayMove(each, job, now())).map(each => each.host)));
		if (concerned.size === 0) {
			return;
		}

		this.#forDomain.flush();
		for (const host of concerned) {
			peers.flush(host);
		}
	}

	#message({began = [], progressed = [], ended = [], absences = []}: Partial<Changes>, audience?: LoadNews['audience']): LoadNews {
		const {self, now} = this.#options;
		return {
			type: 'load',
			began: began.map(job => tell(job, self, now())),
			progressed: [...progressed],
			ended: [...ended],
			absences: absences.length === 0 ? undefined : [...absences],
			audience,
		};
	}
}
