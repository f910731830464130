/** Exchanges with other hosts what is known of crashes. */
import {assertNever} from '../../core/utils/common.js';
import {type Cause, type Scope} from '../../core/gateway/suspicion/causes.js';
import {type Suspects} from '../../core/gateway/suspicion/suspects.js';
import {type Clock} from '../../entry/clock.js';
import {type Log} from '../../entry/logs.js';
import {type Host, type Message} from '../peers/messages.js';
import {type Peers} from '../peers/peers.js';
import {type Upstreams} from '../upstreams/upstreams.js';
import {Defences} from './defences.js';
import {
	decodeEvidence, maxPieces, toPiece, type Evidence,
} from './evidence.js';
import {listFormerCrashes, readFormerMessage, type SuspicionMessage} from './former-messages.js';

/** Longest random delay, in milliseconds, before a host speaks for a cause that it has answered before: others may do so first. */
const smallFleetDelayMs = 30;
const largeFleetDelayMs = 300;

export type EvidenceExchangeOptions = {
	/** Name of this host. */
	readonly self: string;
	readonly failureDomain: string;
	readonly suspects: Suspects;
	readonly upstreams: Pick<Upstreams, 'get'>;
	readonly peers: Pick<Peers, 'broadcast' | 'isLargeFleet' | 'relays'>;
	readonly clock: Pick<Clock, 'now' | 'wall'>;
	readonly log: Pick<Log, 'write'>;
	/** Uniform from 0 to 1. */
	readonly random: () => number;
	/** Called with the upstream of a crash that another host has reported, and whether that host is of another failure domain. */
	readonly onCrash: (upstream: string, isOfOtherDomain: boolean) => void;
	/** Called when something new was learned. */
	readonly onChange: () => void;
};

export class EvidenceExchange implements Disposable {
	readonly #options: EvidenceExchangeOptions;
	readonly #defences: Defences;
	#ignoredPieces = 0;

	constructor(options: EvidenceExchangeOptions) {
		this.#options = options;
		this.#defences = new Defences({
			suspects: options.suspects,
			computeDelay: () => options.random() * (options.peers.isLargeFleet ? largeFleetDelayMs : smallFleetDelayMs),
			send: evidence => {
				this.send(evidence);
			},
		});
	}

	/** Pieces of evidence of peers that were of no use, since the start. */
	get ignoredCount(): number {
		return this.#ignoredPieces;
	}

	/**
	 * @param evidence - What this host has learned.
	 * @param cleared - Causes that it clears.
	 */
	send(evidence: readonly Evidence[], cleared: readonly Cause[] = []): void {
		const {peers, clock} = this.#options;
		const now = clock.now();
		const crashes = listFormerCrashes(this.#options.suspects.crashes, cleared, at => clock.wall() - (now - at));
		peers.broadcast({type: 'acquittal', crashes: [...crashes], evidence: evidence.map(each => toPiece(each, now))});
	}

	/**
	 * @param evidence - Evidence of this host or another one.
	 * @returns Whether it is new here.
	 */
	apply(evidence: Evidence): boolean {
		const {clock, log} = this.#options;
		switch (evidence.type) {
			case 'crash': {
				const {report} = evidence;
				const isNew = this.#options.suspects.recordCrash(report, clock.now());
				if (isNew) {
					this.#defences.add(report.scope, report.causes);
				}

				return isNew;
			}

			case 'answers': {
				const {scope, causes, at} = evidence;
				this.#defences.withdraw(scope, causes);
				const cleared = this.#options.suspects.recordAnswers(scope, causes, at);
				if (cleared.length > 0) {
					log.write({
						event: 'acquitted', causes: cleared, version: scope.version, reason: 'answered at another host',
					});
				}

				return cleared.length > 0;
			}

			case 'beginnings': {
				return this.#options.suspects.recordBeginnings(evidence.scope, evidence.causes, evidence.at).length > 0;
			}

			case 'survival': {
				const isNew = this.#options.suspects.recordSurvival(evidence.process, evidence.at);
				if (isNew) {
					log.write({event: 'acquitted', upstream: evidence.process.upstream, reason: 'the upstream runs on'});
				}

				return isNew;
			}

			case 'trial': {
				return this.#options.suspects.recordTrial(evidence.key, evidence.at);
			}

			case 'order': {
				const {order} = evidence;
				const isNew = this.#options.suspects.recordOrder(order);
				if (isNew) {
					const {service, cause, action, reason} = order;
					log.write({
						event: 'conviction-ordered', service, cause, action, reason,
					}, 'warn');
				}

				return isNew;
			}

			default: {
				return assertNever(evidence);
			}
		}
	}

	/**
	 * Handles a message of a peer. In a large fleet, relays forward what is new to them, as hosts aren't all linked.
	 *
	 * @param from - Peer.
	 * @param message - Crashes, and what speaks for their causes.
	 */
	handleMessage(from: Pick<Host, 'failureDomain' | 'name'>, message: SuspicionMessage): void {
		const {self, clock, peers, log, failureDomain, onCrash, onChange} = this.#options;
		const now = clock.now();
		const {evidence, ignored} = decodeEvidence(message.evidence, now);
		if (ignored > 0) {
			this.#ignoredPieces += ignored;
			log.write({event: 'evidence-ignored', peer: from.name, pieces: ignored}, 'warn');
		}

		const known = message.evidence === undefined ? readFormerMessage(message, upstream => this.#findScope(upstream), now) : evidence;
		const fresh = known.filter(each => this.apply(each));
		for (const each of fresh) {
			if (each.type === 'crash') {
				onCrash(each.report.upstream, from.failureDomain !== failureDomain);
			}
		}

		if (fresh.length > 0) {
			onChange();
		}

		if (fresh.length > 0 && peers.isLargeFleet && peers.relays.includes(self)) {
			peers.broadcast(message.type === 'crash' ? message : {type: 'acquittal', crashes: message.crashes, evidence: fresh.map(each => toPiece(each, now))});
		}
	}

	/**
	 * Sends a newly linked host all evidence: it may have just started, or have been cut off. In a large fleet, only relays do so.
	 *
	 * @param send - Sends a message over the new link.
	 */
	handlePeerJoined(send: (message: Message) => void): void {
		const {self, peers, clock} = this.#options;
		if (peers.isLargeFleet && !peers.relays.includes(self)) {
			return;
		}

		const now = clock.now();
		const pieces = this.#listEvidence().map(evidence => toPiece(evidence, now));
		for (let index = 0; index < pieces.length; index += maxPieces) {
			send({type: 'acquittal', crashes: [], evidence: pieces.slice(index, index + maxPieces)});
		}
	}

	[Symbol.dispose](): void {
		this.#defences[Symbol.dispose]();
	}

	/** Everything that another host needs to draw the same conclusions. */
	#listEvidence(): readonly Evidence[] {
		const {suspects} = this.#options;
		const evidence: Evidence[] = [];
		for (const {reports: all, scope, at} of suspects.crashes) {
			// Attempts all of whose causes were answered since speak against nothing.
			const reports = all.filter(report => report.causes.some(cause => (suspects.findAnswer(scope, cause) ?? Number.NEGATIVE_INFINITY) < at));
			evidence.push(...reports.map(report => ({type: 'crash', report}) as const));
			const causes = [...new Set(reports.flatMap(report => report.causes))];
			evidence.push(
				...groupByTime('answers', scope, causes, cause => suspects.findAnswer(scope, cause)),
				...groupByTime('beginnings', scope, causes, cause => suspects.findBeginning(scope, cause)),
			);
		}

		for (const [key, at] of this.#options.suspects.trials) {
			evidence.push({type: 'trial', key, at});
		}

		for (const order of this.#options.suspects.orders) {
			evidence.push({type: 'order', order});
		}

		return evidence;
	}

	#findScope(upstream: string): Scope | undefined {
		const known = this.#options.upstreams.get(upstream);
		return known === undefined ? undefined : {service: known.service, version: known.version ?? ''};
	}
}

/** Returns what speaks for causes, those of the same time together. */
function groupByTime(type: 'answers' | 'beginnings', scope: Scope, causes: readonly Cause[], findTime: (cause: Cause) => number | undefined): readonly Evidence[] {
	const byTime = new Map<number, Cause[]>();
	for (const cause of causes) {
		const at = findTime(cause);
		if (at !== undefined) {
			byTime.set(at, [...byTime.get(at) ?? [], cause]);
		}
	}

	return [...byTime].map(([at, grouped]) => ({
		type, scope, causes: grouped, at,
	}));
}
