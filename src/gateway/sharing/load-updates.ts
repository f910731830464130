/**
 * Exchanges load updates between hosts, so that each knows the jobs at all upstreams. In a small fleet every host broadcasts its own. In a
 * large one it sends them to the relay of its failure domain. The relay forwards them to the relays of the other domains with a short
 * delay, and to the hosts of its own domain in batches. A host gets the pending changes earlier, and again with its next batch, when it
 * requests them before a placement or may have to reroute a running request; the batches of the other hosts stay whole: with hundreds of
 * hosts that each serve one or two requests a second, a host needs most updates only when its next request arrives.
 */
import {appliesIn, type Absence} from '../../core/gateway/health/absences.js';
import {type Job, type Load} from '../../core/gateway/engines/load.js';
import {disruptivePrefillMs, hasToYield, canCauseReroute} from '../../core/gateway/placement/rerouting.js';
import {findDisruptedStreams} from '../../core/gateway/engines/losses.js';
import {type MemoryClaim} from '../../core/gateway/engines/memory-admission.js';
import {isPace, type PaceReport} from '../../core/gateway/engines/paces.js';
import {type EngineModel} from '../../core/gateway/types.js';
import {type UpstreamReport} from '../../core/gateway/limits/upstream-reports.js';
import {
	fromWireClaim, fromWireCold, fromWireJob, fromWirePace, fromWireReport, isTag, toWireClaim, toWireCold, toWireJob, toWirePace, toWireReport,
} from '../peers/load-messages.js';
import {
	type Host, type HostsLost, type LoadUpdate, type LoadResponse, type LoadRequest, type Message,
} from '../peers/messages.js';
import {type Peers} from '../peers/peers.js';
import {LoadBatch, type LoadChanges} from './load-batch.js';
import {LoadRequester} from './load-requester.js';

/** Collects changes into one message; shorter than an engine iteration. */
const updateDelayMs = 3;

/** How long a relay collects changes for the other domains; kept short, as outdated load information leads to worse placements. */
const otherDomainsDelayMs = 8;

/**
 * How long a relay collects changes for its own domain, and how long a message then waits to be sent together with others to the same
 * host, unless that host requests them.
 */
const domainDelayMs = 50;
const linkDelayMs = 50;

/** Time after which the jobs of an unresponsive host are removed: most answers have ended by then. */
const silentHostRetentionMs = 3000;

export type LoadUpdatesOptions = {
	readonly self: string;
	readonly failureDomain: string;
	readonly load: Load;
	readonly peers: Peers;
	readonly now: () => number;
	/** Timing model of an engine, if known. */
	readonly modelAt: (upstream: string) => EngineModel | undefined;
	/** Called when a peer reports an upstream unreachable or replaced. */
	readonly onAbsence: (absence: Absence) => void;
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
	/** Called for each new job of another host of this failure domain. */
	readonly sent: (job: Job) => void;
};

/** Notified of changes that may make it worthwhile to reroute a job. */
export type RerouteListener = {
	/** Another host's job started earlier at one of the job's engines. */
	readonly preceded: () => void;
	/** The prefill of a long prompt will interrupt the job's decode: the loss of staying, in requests of usual weight. */
	readonly disrupted: (loss: number) => void;
};

export class LoadUpdates {
	readonly #options: LoadUpdatesOptions;
	/** Listeners of own jobs that could be rerouted, by job. */
	readonly #reroutable = new Map<string, RerouteListener>();
	/** Changes of this host's own jobs. */
	readonly #ownChanges = new LoadBatch(updateDelayMs, changes => {
		this.#sendOwnChanges(changes);
	});

	/** Changes that this host forwards to its failure domain as a relay, and those for the other domains. */
	readonly #domainChanges = new LoadBatch(domainDelayMs, changes => {
		this.#options.peers.sendToDomain(this.#createUpdate(changes), linkDelayMs);
	});

	readonly #otherDomainsChanges = new LoadBatch(otherDomainsDelayMs, changes => {
		this.#options.peers.sendToOtherDomains(this.#createUpdate(changes, 'domain'));
	});

	readonly #loadRequester = new LoadRequester((relay, ask) => {
		this.#options.peers.send(relay, {type: 'load-wanted', ask});
	});

	/** Relay that has received all jobs of this host; undefined if this host is the relay. */
	#informedRelay: string | undefined;

	constructor(options: LoadUpdatesOptions) {
		this.#options = options;
	}

	/**
	 * @param job - Job that this host has just started.
	 */
	begin(job: Job): void {
		const {load, now, onNewJob} = this.#options;
		load.begin(job, now());
		onNewJob(job);
		this.#ownChanges.add({began: [job]});
		this.#notifyDisrupted(job);
	}

	/**
	 * @param id - Own job whose first byte has arrived.
	 */
	progress(id: string): void {
		const {load, now} = this.#options;
		load.recordFirstByte(id, now());
		this.#ownChanges.add({progressed: [id]});
	}

	/**
	 * @param id - Own job that has ended.
	 */
	end(id: string): void {
		const {load, now} = this.#options;
		this.#reroutable.delete(id);
		load.end(id, now());
		this.#ownChanges.add({ended: [id]});
	}

	/**
	 * @param absence - Upstream that this host found unreachable or replaced.
	 */
	publishAbsence(absence: Absence): void {
		this.#ownChanges.add({absences: [absence]});
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
		this.#reroutable.set(id, listener);
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
			send(this.#createUpdate({began: load.all.filter(job => job.host !== host.name), reports: reports()}));
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
		this.#sendPending(from.name);
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
		const began = update.began.map(wireJob => fromWireJob(wireJob, from.name, now())).filter(job => job.host !== self);
		if (update.began.some(({organisation}) => organisation !== undefined && !isTag(organisation))) {
			this.#options.onInvalidTag(from.name);
		}

		this.#reportDomainJobs(began);
		for (const job of began) {
			this.#reportNewJob(job);
			load.begin(job, now());
			this.#notifyDisrupted(job);
			this.#notifyPreceded(job);
		}

		for (const id of update.progressed) {
			load.recordFirstByte(id, now());
		}

		for (const id of update.ended) {
			load.end(id, now());
		}

		const absences = (update.absences ?? []).filter(absence => appliesIn(absence, from.failureDomain, this.#options.failureDomain));
		for (const absence of absences) {
			this.#options.onAbsence(absence);
		}

		const reports = [
			...(update.reports ?? []).map(report => fromWireReport(report, now())),
			...(update.cold ?? []).map(report => fromWireCold(report, now())),
		];
		for (const report of reports) {
			this.#options.onReport(from.name, report);
		}

		const paces = (update.paces ?? []).map(pace => fromWirePace(pace, now()));
		for (const pace of paces) {
			this.#options.onPace(from.name, pace);
		}

		const claims = (update.claims ?? []).map(claim => fromWireClaim(claim, now()));
		for (const claim of claims) {
			this.#options.onClaim(claim);
		}

		this.#forward({
			began, progressed: update.progressed, ended: update.ended, absences, reports, paces: paces.filter(({pace}) => isPace(pace)), claims,
		}, update.audience);
	}

	/**
	 * @param message - Hosts that a peer has lost; those that are linked with this one are alive and keep their jobs.
	 */
	handleHostsLost({hosts, audience}: HostsLost): void {
		this.#forgetUnlinked(hosts, audience);
	}

	/**
	 * Removes the jobs of a host whose link was closed: after a delay if it was unresponsive, and not at all if the link was released.
	 *
	 * @param host - Host.
	 * @param reason - `silent`, `released` or any other reason.
	 */
	handlePeerLost(host: Host, reason: string): void {
		const {peers, failureDomain} = this.#options;
		if (reason === 'released') {
			return;
		}

		if (reason !== 'silent') {
			this.#forgetHosts([host.name], 'fleet');
			return;
		}

		setTimeout(() => {
			const isOtherDomain = peers.isLargeFleet && host.failureDomain !== failureDomain;
			if (!isOtherDomain) {
				this.#forgetUnlinked([host.name], 'fleet');
			} else if (!peers.hosts.some(each => each.failureDomain === host.failureDomain)) {
				this.#forgetUnlinked(peers.listDomainHosts(host.failureDomain), 'domain');
			}
		}, silentHostRetentionMs);
	}

	#forgetUnlinked(hosts: readonly string[], audience: HostsLost['audience']): void {
		const linked = new Set(this.#options.peers.hosts.map(host => host.name));
		this.#forgetHosts(hosts.filter(name => !linked.has(name)), audience);
	}

	/** Removes the jobs of failed or stopped hosts, and notifies the hosts that aren't linked with them. */
	#forgetHosts(hosts: readonly string[], audience: HostsLost['audience']): void {
		const {load, now, peers} = this.#options;
		for (const name of hosts) {
			load.forgetHost(name, now());
		}

		if (hosts.length === 0 || audience === undefined || !peers.isLargeFleet) {
			return;
		}

		peers.sendToDomain({type: 'hosts-lost', hosts: [...hosts]});
		if (audience === 'fleet') {
			peers.sendToOtherDomains({type: 'hosts-lost', hosts: [...hosts], audience: 'domain'});
		}
	}

	/** Reports a job of another host, once although updates may arrive over two paths. */
	#reportNewJob(job: Job): void {
		if (!this.#options.load.isKnown(job.id)) {
			this.#options.onNewJob(job);
		}
	}

	/** Reports new jobs of other hosts of this failure domain, once per job although updates may arrive over two paths. */
	#reportDomainJobs(began: readonly Job[]): void {
		if (began.length === 0) {
			return;
		}

		const {load, peers, failureDomain, sent} = this.#options;
		const domainHosts = new Set(peers.listDomainHosts(failureDomain));
		for (const job of began) {
			if (domainHosts.has(job.host) && !load.isKnown(job.id)) {
				sent(job);
			}
		}
	}

	/** Notifies own streams if the prefill of a new job will interrupt their decode for too long. */
	#notifyDisrupted(job: Job): void {
		if (job.readPerPass < disruptivePrefillMs || this.#reroutable.size === 0) {
			return;
		}

		const {load, now, modelAt} = this.#options;
		for (const upstream of [job.upstream, ...job.helpers]) {
			const model = modelAt(upstream);
			for (const {job: stream, loss} of model === undefined ? [] : findDisruptedStreams(load.forecast(upstream, model, now()))) {
				this.#reroutable.get(stream.id)?.disrupted(loss);
			}
		}
	}

	/** Notifies own jobs that started after another host's job at the same engine. */
	#notifyPreceded(other: Job): void {
		const {load, now} = this.#options;
		for (const [id, {preceded}] of this.#reroutable) {
			const own = load.get(id);
			if (own !== undefined && hasToYield(own, other, now())) {
				preceded();
			}
		}
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
			this.#forward(changes, 'fleet');
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

	#forward(changes: LoadChanges, audience: LoadUpdate['audience']): void {
		if (audience === undefined) {
			return;
		}

		this.#domainChanges.add(changes);
		if (audience === 'fleet') {
			this.#otherDomainsChanges.add({...changes, absences: changes.absences.filter(absence => absence.isForAll)});
		}

		this.#flushAffectedHosts(changes.began);
	}

	/** Sends pending updates at once to the hosts that may have to reroute a request because of new jobs. */
	#flushAffectedHosts(began: readonly Job[]): void {
		const {load, now} = this.#options;
		const affectedHosts = new Set(began.flatMap(job => load.findJobsOfOtherHosts(job).filter(each => canCauseReroute(each, job, now())).map(each => each.host)));
		for (const host of affectedHosts) {
			this.#sendPending(host);
		}
	}

	/** Sends a host the changes that its domain gets with the next batch, after those that already wait to be sent to it. */
	#sendPending(host: string): void {
		const {peers} = this.#options;
		const {pending} = this.#domainChanges;
		if (pending === undefined) {
			peers.flush(host);
		} else {
			peers.send(host, this.#createUpdate(pending));
		}
	}

	#createUpdate({began = [], progressed = [], ended = [], absences = [], reports = [], paces = [], claims = []}: Partial<LoadChanges>, audience?: LoadUpdate['audience']): LoadUpdate {
		const {self, now} = this.#options;
		const statements = reports.filter(report => report.type !== 'cold');
		const cold = reports.filter(report => report.type === 'cold');
		return {
			type: 'load',
			began: began.map(job => toWireJob(job, self, now())),
			progressed: [...progressed],
			ended: [...ended],
			absences: absences.length === 0 ? undefined : [...absences],
			reports: statements.length === 0 ? undefined : statements.map(report => toWireReport(report, now())),
			cold: cold.length === 0 ? undefined : cold.map(report => toWireCold(report, now())),
			paces: paces.length === 0 ? undefined : paces.map(pace => toWirePace(pace, now())),
			claims: claims.length === 0 ? undefined : claims.map(claim => toWireClaim(claim, now())),
			audience,
		};
	}
}
