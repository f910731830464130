/**
 * Exchanges load updates between hosts, so that each knows the jobs at all upstreams. In a small fleet every host broadcasts its own. In a
 * large one it sends them to the relay of its failure domain, which forwards them (`LoadForwarder`).
 */
import {appliesIn, type Absence, type UpstreamReturn} from '../../core/gateway/health/absences.js';
import {type Job, type Load} from '../../core/gateway/engines/load.js';
import {type MemoryClaim} from '../../core/gateway/engines/memory-admission.js';
import {isPace, type PaceReport} from '../../core/gateway/engines/paces.js';
import {type EngineModel} from '../../core/gateway/types.js';
import {maxSummedJobAgeMs, type JobSum} from '../../core/gateway/limits/job-sums.js';
import {type UpstreamReport} from '../../core/gateway/limits/upstream-reports.js';
import {fromWireSum, type WireSum} from '../peers/load-messages.js';
import {
	type Host, type HostsLost, type LoadUpdate, type LoadResponse, type LoadRequest, type Message,
} from '../peers/messages.js';
import {type Peers} from '../peers/peers.js';
import {DomainGroups} from './domain-groups.js';
import {HostLosses} from './host-losses.js';
import {JobAudience} from './job-audience.js';
import {LoadBatch, type LoadChanges} from './load-batch.js';
import {decodeChanges, encodeChanges, hasInvalidTag} from './load-encoding.js';
import {LoadForwarder} from './load-forwarder.js';
import {LoadRequester} from './load-requester.js';
import {RerouteNotifier, type RerouteListener} from './reroute-notifier.js';

/** Collects changes into one message; shorter than an engine iteration. */
const updateDelayMs = 3;

export type LoadUpdatesOptions = {
	readonly self: string;
	readonly failureDomain: string;
	readonly load: Load;
	readonly peers: Peers;
	readonly now: () => number;
	/** Timing model of an engine, if known. */
	readonly modelAt: (upstream: string) => EngineModel | undefined;
	/** Called when a peer reports an upstream unreachable, replaced or silent. */
	readonly onAbsence: (absence: Absence, peer: string) => void;
	/** Called when a peer reports that an upstream answers again. */
	readonly onReturn: (upstream: string, peer: string) => void;
	/** Called for each new job, of this host or another one. */
	readonly onNewJob: (job: Job) => void;
	/** Called when a peer sends jobs with invalid tags of organisations. */
	readonly onInvalidTag: (peer: string) => void;
	/** Returns what upstreams have reported about themselves. */
	readonly reports: () => readonly UpstreamReport[];
	/** Called with what an upstream has reported to a peer or to another host. */
	readonly onReport: (peer: string, report: UpstreamReport) => void;
	/** Called with the pace of an engine that a peer or another host has learned. */
	readonly onPace: (peer: string, pace: PaceReport) => void;
	/** Called when another host keeps memory for a waiting request, or no longer does. */
	readonly onClaim: (claim: MemoryClaim) => void;
	/** Called for each new job of another host; in a large fleet, of one of this failure domain. */
	readonly sent: (job: Job) => void;
	/** Whether the hosts together count the requests at an upstream, as it is cold or limits their rate. */
	readonly isCounted: (upstream: string) => boolean;
	/** Returns the service of an upstream, if it is known. */
	readonly findService: (upstream: string) => string | undefined;
	/** Called with the sum of jobs that the relay has left out of what this host's group receives. */
	readonly onSum: (sum: JobSum) => void;
};

export class LoadUpdates {
	/** Groups of the hosts of this failure domain. */
	readonly groups: DomainGroups;
	readonly #options: LoadUpdatesOptions;
	readonly #audience: JobAudience;
	readonly #rerouteNotifier: RerouteNotifier;
	readonly #hostLosses: HostLosses;
	readonly #forwarder: LoadForwarder;
	/** Changes of this host's own jobs. */
	readonly #ownChanges = new LoadBatch(updateDelayMs, changes => {
		this.#sendOwnChanges(changes);
	});

	readonly #loadRequester = new LoadRequester((relay, ask) => {
		this.#options.peers.send(relay, {type: 'load-wanted', ask});
	});

	/** Relay that has received all jobs of this host; undefined if this host is the relay. */
	#informedRelay: string | undefined;

	constructor(options: LoadUpdatesOptions) {
		this.#options = options;
		this.#rerouteNotifier = new RerouteNotifier(options);
		this.#hostLosses = new HostLosses(options);
		this.groups = new DomainGroups({name: options.self, failureDomain: options.failureDomain}, options.peers);
		this.#audience = new JobAudience(this.groups, options);
		this.#forwarder = new LoadForwarder({...options, groups: this.groups, audience: this.#audience});
	}

	/**
	 * @param job - Job that this host has just started.
	 */
	begin(job: Job): void {
		const {load, now, onNewJob, isCounted} = this.#options;
		const published = this.groups.count > 1 && isCounted(job.upstream) ? {...job, isForAll: true} : job;
		load.begin(published, now());
		onNewJob(published);
		this.#ownChanges.add({began: [published], fresh: [published]});
		this.#rerouteNotifier.notifyDisrupted(published);
	}

	/**
	 * @param id - Own job whose first byte has arrived.
	 */
	progress(id: string): void {
		const {load, now} = this.#options;
		load.recordFirstByte(id, now());
		this.#ownChanges.add({progressed: [id], changed: this.#listKnown([id])});
	}

	/**
	 * @param id - Own job that has ended.
	 */
	end(id: string): void {
		const {load, now} = this.#options;
		this.#rerouteNotifier.forget(id);
		this.#ownChanges.add({ended: [id], changed: this.#listKnown([id])});
		load.end(id, now());
	}

	/**
	 * @param absence - Upstream that this host found unreachable or replaced.
	 */
	publishAbsence(absence: Absence): void {
		this.#ownChanges.add({absences: [absence]});
	}

	/**
	 * @param upstreamReturn - Upstream that this host has reported as silent, and that answers again.
	 */
	publishReturn(upstreamReturn: UpstreamReturn): void {
		this.#ownChanges.add({returns: [upstreamReturn]});
	}

	/**
	 * @param report - What an upstream reported about itself to this host.
	 */
	publishReport(report: UpstreamReport): void {
		this.#ownChanges.add({reports: [report]});
	}

	/**
	 * @param pace - Pace of an engine that this host has learned.
	 */
	publishPace(pace: PaceReport): void {
		this.#ownChanges.add({paces: [pace]});
	}

	/**
	 * @param claim - Memory that this host keeps for a waiting request.
	 */
	publishClaim(claim: MemoryClaim): void {
		this.#ownChanges.add({claims: [claim]});
	}

	/**
	 * @param id - Own job that could be rerouted.
	 * @param listener - Notified until the job ends.
	 */
	watch(id: string, listener: RerouteListener): void {
		this.#rerouteNotifier.watch(id, listener);
	}

	/**
	 * Sends a newly linked host the jobs that it can't get from others.
	 *
	 * @param host - Host.
	 * @param send - Sends a message over the new link.
	 */
	handlePeerJoined(host: Host, send: (message: Message) => void): void {
		const {load, now, self, peers, failureDomain, reports} = this.#options;
		if (!peers.isLargeFleet) {
			load.forgetHost(host.name, now());
			send(this.#createUpdate({began: load.findJobsOfHost(self), reports: reports()}));
			return;
		}

		const relay = this.#findRelay();
		if (relay === host.name) {
			this.#sendOwnJobs(relay);
		} else if (relay === undefined && host.failureDomain === failureDomain) {
			const group = this.groups.findGroup(host.name);
			send(this.#createUpdate({began: load.all.filter(job => job.host !== host.name && this.#audience.includes(job, group)), reports: reports()}));
		} else if (relay === undefined) {
			const own = new Set([self, ...peers.listDomainHosts(failureDomain)]);
			send(this.#createUpdate({began: load.all.filter(job => own.has(job.host)), reports: reports()}, 'domain'));
		}
	}

	/** Requests the pending updates of this host's relay, if there is one; resolves within a bounded time. */
	async refresh(): Promise<void> {
		const relay = this.#options.peers.isLargeFleet ? this.#findRelay() : undefined;
		if (relay !== undefined) {
			await this.#loadRequester.requestUpdates(relay);
		}
	}

	/**
	 * Sends a host all pending updates, then the response. They stay in the batch of the whole domain: hundreds of hosts each request
	 * them now and then, and a batch cut by every request costs each host a message for one or two jobs.
	 *
	 * @param from - Requester.
	 * @param request - Request.
	 */
	handleRequest(from: Host, {ask}: LoadRequest): void {
		this.#ownChanges.flush();
		this.#forwarder.sendPending(from.name);
		this.#options.peers.send(from.name, {type: 'load-told', ask});
	}

	/**
	 * @param from - Relay that responds.
	 * @param response - Response.
	 */
	handleResponse(from: Host, response: LoadResponse): void {
		this.#loadRequester.handleResponse(from.name, response);
	}

	/**
	 * Applies an update, and forwards it if this host is to relay it.
	 *
	 * @param from - Sender.
	 * @param update - Changes of the sender's own jobs, or of others' jobs that it forwards.
	 */
	handleUpdate(from: Host, update: LoadUpdate): void {
		const {load, now, self} = this.#options;
		const {began: jobs, progressed, ended, absences: reported, returns: returned, reports, paces, claims} = decodeChanges(update, from.name, now());
		const began = jobs.filter(job => job.host !== self);
		if (hasInvalidTag(update)) {
			this.#options.onInvalidTag(from.name);
		}

		const fresh = began.filter(({id}) => !load.isKnown(id));
		this.#reportSharedJobs(began);
		for (const job of began) {
			this.#reportNewJob(job);
			load.begin(job, now());
			this.#rerouteNotifier.notifyDisrupted(job);
			this.#rerouteNotifier.notifyPreceded(job);
		}

		const changed = this.#listKnown([...progressed, ...ended]);
		for (const id of progressed) {
			load.recordFirstByte(id, now());
		}

		for (const id of ended) {
			load.end(id, now());
		}

		const absences = reported.filter(absence => appliesIn(absence, from.failureDomain, this.#options.failureDomain));
		for (const absence of absences) {
			this.#options.onAbsence(absence, from.name);
		}

		const returns = returned.filter(each => appliesIn(each, from.failureDomain, this.#options.failureDomain));
		for (const {upstream} of returns) {
			this.#options.onReturn(upstream, from.name);
		}

		for (const report of reports) {
			this.#options.onReport(from.name, report);
		}

		for (const pace of paces) {
			this.#options.onPace(from.name, pace);
		}

		for (const claim of claims) {
			this.#options.onClaim(claim);
		}

		this.#applySums(update.sums ?? []);
		this.#forwarder.forward({
			began, progressed, ended, absences, returns, reports, paces: paces.filter(({pace}) => isPace(pace)), claims, fresh, changed,
		}, update.audience);
	}

	/**
	 * Notes the group of a host. If it has changed, sends the host the jobs that it hasn't received so far, as the relay of its failure domain.
	 *
	 * @param host - Linked host.
	 * @param count - Number of groups that it announces; absent if it is to receive everything.
	 */
	handleGroups(host: Host, count: unknown): void {
		if (host.failureDomain !== this.#options.failureDomain || !this.groups.isChange(host.name, count)) {
			return;
		}

		const previous = this.groups.findGroup(host.name);
		this.#forwarder.flush();
		this.groups.record(host.name, count);
		const group = this.groups.findGroup(host.name);
		const missed = this.#findRelay() === undefined
			? this.#options.load.all.filter(job => !this.#audience.includes(job, previous) && this.#audience.includes(job, group))
			: [];
		if (missed.length > 0) {
			this.#options.peers.send(host.name, this.#createUpdate({began: missed}));
		}
	}

	/**
	 * Removes jobs that this host's group doesn't receive, to be called at intervals: their ends don't arrive after the group has changed, or
	 * after their upstream is no longer cold or limited.
	 */
	removeForeignJobs(): void {
		const {own} = this.groups;
		if (own === undefined) {
			return;
		}

		const {load, now, self} = this.#options;
		for (const job of load.all) {
			if (job.host !== self && !this.#audience.includes(job, own)) {
				load.end(job.id, now());
			}
		}
	}

	/**
	 * @param message - Hosts that a peer has lost.
	 */
	handleHostsLost(message: HostsLost): void {
		this.#hostLosses.handleHostsLost(message);
	}

	/**
	 * @param host - Host whose link was closed.
	 * @param reason - `silent`, `released` or any other reason.
	 */
	handlePeerLost(host: Host, reason: string): void {
		this.groups.forget(host.name);
		this.#hostLosses.handlePeerLost(host, reason);
	}

	/** Whether sums have covered a job: as the group of a host changes, its relay sends the running jobs that it has left out before. */
	#isCovered(job: Job): boolean {
		return this.groups.own !== undefined && this.#options.now() - job.began > maxSummedJobAgeMs;
	}

	/** Reports a job of another host, once although updates may arrive over two paths. */
	#reportNewJob(job: Job): void {
		if (!this.#options.load.isKnown(job.id)) {
			this.#options.onNewJob(job);
		}
	}

	/** Reports new jobs of the hosts that share a retry budget with this one, once per job although updates may arrive over two paths. */
	#reportSharedJobs(began: readonly Job[]): void {
		if (began.length === 0) {
			return;
		}

		const {load, peers, failureDomain, sent} = this.#options;
		const domainHosts = new Set(peers.listDomainHosts(failureDomain));
		for (const job of began) {
			if ((!peers.isLargeFleet || domainHosts.has(job.host)) && !load.isKnown(job.id) && !this.#isCovered(job)) {
				sent(job);
			}
		}
	}

	/** Applies the sums of a relay. They only cover jobs that were left out, also if this host is to receive everything by now. */
	#applySums(sums: readonly WireSum[]): void {
		for (const sum of sums) {
			this.#options.onSum(fromWireSum(sum));
		}
	}

	#listKnown(ids: readonly string[]): readonly Job[] {
		return ids.flatMap(id => this.#options.load.get(id) ?? []);
	}

	/** Returns the relay of this failure domain; undefined if that is this host. */
	#findRelay(): string | undefined {
		const {peers, self} = this.#options;
		const [first] = peers.relays;
		return first === self ? undefined : first;
	}

	#sendOwnChanges(changes: LoadChanges): void {
		const {peers} = this.#options;
		if (!peers.isLargeFleet) {
			peers.broadcast(this.#createUpdate(changes));
			peers.recordLoadBroadcast();
			return;
		}

		const relay = this.#findRelay();
		if (relay !== this.#informedRelay) {
			this.#sendOwnJobs(relay);
		}

		if (relay === undefined) {
			this.#forwarder.forward(changes, 'fleet');
		} else {
			peers.send(relay, this.#createUpdate(changes, 'fleet'));
		}
	}

	/** Sends a new relay all jobs of this host: the previous one may not have forwarded all of them. */
	#sendOwnJobs(relay: string | undefined): void {
		const {load, peers, self, reports} = this.#options;
		this.#informedRelay = relay;
		if (relay !== undefined) {
			peers.send(relay, this.#createUpdate({began: load.findJobsOfHost(self), reports: reports()}, 'fleet'));
		}
	}

	#createUpdate(changes: Partial<LoadChanges>, audience?: LoadUpdate['audience']): LoadUpdate {
		return encodeChanges(changes, this.#options.self, this.#options.now(), audience);
	}
}
