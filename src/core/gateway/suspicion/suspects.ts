/** Decides whether a request may run, from the crashes and answers that all hosts have observed. */
import {type UpstreamProcess} from '../types.js';
import {Answers} from './answers.js';
import {formatScope, type Cause, type Scope} from './causes.js';
import {Crashes, type Crash, type CrashReport} from './crashes.js';
import {
	infer, type Blame, type CauseKnowledge, type Findings,
} from './inference.js';
import {Orders, type ReceivedOrder} from './orders.js';
import {type Suspect} from './quarantine.js';
import {
	computeTrialTime, computeVersionTrialTime, Trials, type TrialKey,
} from './trials.js';

/** Requests that are refused, as they crash engines of one version or as an operator has said so. */
export type Conviction = {
	readonly service: string;
	/** Version of the engines; undefined for all. */
	readonly version?: string;
	/** Requests with all of these causes are refused. */
	readonly causes: readonly Cause[];
	readonly basis: {readonly type: 'crashes'; readonly crashes: readonly Crash[]} | {readonly type: 'order'; readonly order: ReceivedOrder};
};

/** What is known against a request. */
export type Assessment
	/** It may run, at engines of the given versions only if these are set. */
	= | {readonly type: 'unsuspected'; readonly versions?: readonly string[]}
	/** The same, apart from others; most is known against `cause`. */
		| {readonly type: 'suspected'; readonly cause: Cause; readonly crashes: number; readonly versions?: readonly string[]}
	/** It may run once to test its conviction, at engines of the given version. */
		| {readonly type: 'trial'; readonly key: TrialKey; readonly cause: Cause; readonly conviction: Conviction; readonly versions: readonly string[]}
	/** It must not run; `until` is when it may be tried again, if that is known. */
		| {readonly type: 'convicted'; readonly conviction: Conviction; readonly until?: number};

/** A request, and the engines that it may be sent to. */
export type AssessedRequest = {
	readonly service: string;
	readonly causes: readonly Cause[];
	/** Versions of the engines that are registered. */
	readonly versions: readonly string[];
};

/** Returns how many hosts come before this one in the order in which they test a conviction. */
export type TurnFinder = (key: TrialKey) => number;

/** How often old evidence is dropped, in milliseconds. */
const pruneIntervalMs = 5000;

function toConviction({service, version}: Scope, {causes, crashes}: Blame): Conviction {
	return {
		service, version, causes, basis: {type: 'crashes', crashes},
	};
}

export class Suspects {
	readonly #crashes = new Crashes();
	readonly #answers = new Answers();
	/** When answers to requests with a cause last began. */
	readonly #beginnings = new Answers();
	readonly #orders = new Orders();
	readonly #trials = new Trials();
	/** Findings by scope, as of the change count. */
	#findings = new Map<string, {readonly scope: Scope; readonly findings: Findings}>();
	#inferredAt = 0;
	#changeCount = 0;
	#prunedAt = 0;

	/** Whether nothing is known against any request. */
	get isEmpty(): boolean {
		const [crash] = this.#crashes.all;
		const [order] = this.#orders.all;
		return crash === undefined && order === undefined;
	}

	/** Crashes in memory. */
	get crashes(): Iterable<Crash> {
		return this.#crashes.all;
	}

	/** Number of attempts in memory that ended with a crash. */
	get reportCount(): number {
		return this.#crashes.reportCount;
	}

	get orders(): Iterable<ReceivedOrder> {
		return this.#orders.all;
	}

	get trials(): Iterable<readonly [TrialKey, number]> {
		return this.#trials.all;
	}

	/** Changes with every change of what is known against any request. */
	get changeCount(): number {
		return this.#changeCount + this.#crashes.changeCount;
	}

	/**
	 * @param report - Attempt that ended with a crash.
	 * @param now - Time.
	 * @returns Whether it is new.
	 */
	recordCrash(report: CrashReport, now: number): boolean {
		this.#prune(now);
		return this.#crashes.record(report);
	}

	/**
	 * @param scope - Engines that answered.
	 * @param causes - Causes of answered requests.
	 * @param at - Time of the answer.
	 * @returns Those under which an engine has crashed since the answer before.
	 */
	recordAnswers(scope: Scope, causes: readonly Cause[], at: number): readonly Cause[] {
		const cleared = causes.filter(cause => this.#isNews(scope, cause, at));
		for (const cause of causes) {
			this.#answers.record(scope, cause, at);
		}

		this.#changeCount += cleared.length > 0 ? 1 : 0;
		return cleared;
	}

	/**
	 * Records that answers have begun, which shows that their causes don't crash engines as these begin to write.
	 *
	 * @param scope - Engines that answer.
	 * @param causes - Causes of the requests.
	 * @param at - Time.
	 * @returns Those of which this wasn't known, and under which engines have crashed.
	 */
	recordBeginnings(scope: Scope, causes: readonly Cause[], at: number): readonly Cause[] {
		const fresh = causes.filter(cause => this.#beginnings.findTime(scope, cause) === undefined && this.#crashes.findLastUnder(scope, cause) !== undefined);
		for (const cause of causes) {
			this.#beginnings.record(scope, cause, at);
		}

		this.#changeCount += fresh.length > 0 ? 1 : 0;
		return fresh;
	}

	/**
	 * @param scope - Engines.
	 * @param cause - Cause.
	 * @returns When an answer to a request with it last began there; undefined if that isn't known.
	 */
	findBeginning(scope: Scope, cause: Cause): number | undefined {
		return this.#beginnings.findTime(scope, cause);
	}

	/**
	 * @param scope - Engines.
	 * @param cause - Cause.
	 * @returns When a request with it was last answered there; undefined if that isn't known.
	 */
	findAnswer(scope: Scope, cause: Cause): number | undefined {
		return this.#answers.findTime(scope, cause);
	}

	/**
	 * @param process - Process that is alive after a supposed crash.
	 * @param at - Time at which it was.
	 * @returns Whether that disproves a crash.
	 */
	recordSurvival(process: UpstreamProcess, at: number): boolean {
		return this.#crashes.disprove(process, at);
	}

	/**
	 * @param order - Order of an operator.
	 * @returns Whether it is new.
	 */
	recordOrder(order: ReceivedOrder): boolean {
		const isNew = this.#orders.apply(order);
		this.#changeCount += isNew ? 1 : 0;
		return isNew;
	}

	/**
	 * @param service - Service.
	 * @param cause - Cause.
	 * @returns Unix time in milliseconds of the last order about it; 0 if there was none.
	 */
	findOrderTime(service: string, cause: Cause): number {
		return this.#orders.findOrder(service, cause)?.given ?? 0;
	}

	/**
	 * @param key - Trial of a conviction.
	 * @param at - When a host started it.
	 * @returns Whether it is new.
	 */
	recordTrial(key: TrialKey, at: number): boolean {
		return this.#trials.record(key, at);
	}

	/**
	 * @param upstream - Id of an upstream.
	 * @param since - Time.
	 * @returns Its last crash since then, if there was one.
	 */
	findCrash(upstream: string, since: number): Crash | undefined {
		return this.#crashes.findSince(upstream, since);
	}

	/** Convictions in force. */
	get convictions(): readonly Conviction[] {
		const byCrashes = [...this.#infer().values()].flatMap(({scope, findings}) => findings.blames.map(blame => toConviction(scope, blame)));
		const byOrder = [...this.#orders.all].filter(({action}) => action === 'add').map((order): Conviction => ({
			service: order.service, causes: [order.cause], basis: {type: 'order', order},
		}));
		return [...byOrder, ...byCrashes];
	}

	/**
	 * @param service - Service.
	 * @returns Causes that are suspected at its engines and not convicted.
	 */
	listSuspects(service: string): readonly Suspect[] {
		const suspects: Suspect[] = [];
		for (const {scope, findings} of this.#infer().values()) {
			if (scope.service === service) {
				suspects.push(...[...findings.suspicions].map(([cause, suspicion]) => ({cause, ...suspicion})));
			}
		}

		return suspects;
	}

	/**
	 * @param service - Service.
	 * @returns Causes under which several of its engines have crashed.
	 */
	listCulprits(service: string): ReadonlySet<Cause> {
		const culprits = this.listSuspects(service).filter(({crashes}) => crashes > 1).map(({cause}) => cause);
		return new Set([...culprits, ...this.convictions.filter(each => each.service === service).flatMap(({causes}) => causes)]);
	}

	/**
	 * @param request - Request.
	 * @param findTurn - Finds the turn of this host.
	 * @param now - Time.
	 * @returns What is known against it.
	 */
	assess(request: AssessedRequest, findTurn: TurnFinder, now: number): Assessment {
		const {service, causes, versions} = request;
		for (const cause of causes) {
			const order = this.#orders.findOrder(service, cause);
			if (order?.action === 'add') {
				return {type: 'convicted', conviction: {service, causes: [cause], basis: {type: 'order', order}}};
			}
		}

		const convictions = this.#findConvictions(request);
		if (convictions.size === 0) {
			return this.#assessSuspicion(request);
		}

		const open = versions.filter(version => !convictions.has(version) && this.#hasAnswered(request, version));
		return open.length > 0 ? {...this.#assessSuspicion({...request, versions: open}), versions: open} : this.#assessTrial(request, convictions, findTurn, now);
	}

	/** Returns the blames that apply to a request, with the engines that crashed. */
	#listBlames({service, causes}: AssessedRequest): ReadonlyArray<{readonly scope: Scope; readonly blame: Blame}> {
		return [...this.#infer().values()]
			.filter(({scope}) => scope.service === service)
			.flatMap(({scope, findings}) => findings.blames.map(blame => ({scope, blame})))
			.filter(({blame}) => blame.causes.every(cause => causes.includes(cause)));
	}

	/** Returns one conviction of each version that applies to a request, by version. */
	#findConvictions(request: AssessedRequest): ReadonlyMap<string, Conviction> {
		const convictions = new Map<string, Conviction>();
		for (const {scope, blame} of this.#listBlames(request)) {
			if (!convictions.has(scope.version)) {
				convictions.set(scope.version, toConviction(scope, blame));
			}
		}

		return convictions;
	}

	/** Whether engines of a version have answered a request with causes that crash those of another version. */
	#hasAnswered(request: AssessedRequest, version: string): boolean {
		const scope = {service: request.service, version};
		return this.#listBlames(request).every(({blame}) => blame.causes.some(cause => this.#answers.findTime(scope, cause) !== undefined));
	}

	#assessSuspicion({service, causes, versions}: AssessedRequest): Extract<Assessment, {readonly type: 'suspected' | 'unsuspected'}> {
		let worst: Suspect | undefined;
		for (const {scope, findings} of this.#infer().values()) {
			if (scope.service !== service || !versions.includes(scope.version)) {
				continue;
			}

			for (const cause of causes) {
				const suspicion = findings.suspicions.get(cause);
				if (suspicion !== undefined && suspicion.crashes > (worst?.crashes ?? 0)) {
					worst = {cause, ...suspicion};
				}
			}
		}

		return worst === undefined ? {type: 'unsuspected'} : {type: 'suspected', cause: worst.cause, crashes: worst.crashes};
	}

	#assessTrial({service, versions}: AssessedRequest, convictions: ReadonlyMap<string, Conviction>, findTurn: TurnFinder, now: number): Assessment {
		const [conviction] = convictions.values();
		const times = [...convictions.values()].flatMap(({basis}) => basis.type === 'crashes' ? basis.crashes.map(({at}) => at) : []);
		const lastCrash = Math.max(...times);
		let until: number | undefined;
		for (const version of versions) {
			const own = convictions.get(version);
			const {causes} = own ?? conviction!;
			const scope = formatScope({service, version});
			const key = `${scope} ${causes.toSorted().join(' ')}`;
			const due = own?.basis.type === 'crashes'
				? computeTrialTime(times)
				: computeVersionTrialTime(lastCrash, this.#trials.noteVersion(scope, now));
			if (this.#trials.mayStart(key, due, findTurn(key), now)) {
				return {
					type: 'trial', key, cause: causes[0]!, conviction: conviction!, versions: [version],
				};
			}

			until = Math.min(until ?? due, due);
		}

		return {type: 'convicted', conviction: conviction!, until};
	}

	/** Returns the findings of all scopes, inferred again if anything has changed. Findings in one scope count in the others. */
	#infer(): ReadonlyMap<string, {readonly scope: Scope; readonly findings: Findings}> {
		if (this.#inferredAt === this.changeCount) {
			return this.#findings;
		}

		const byScope = new Map<string, {readonly scope: Scope; readonly crashes: Crash[]}>();
		for (const crash of this.#crashes.all) {
			const key = formatScope(crash.scope);
			const known = byScope.get(key) ?? {scope: crash.scope, crashes: []};
			known.crashes.push(crash);
			byScope.set(key, known);
		}

		let blames: ReadonlyArray<Blame & {readonly scope: Scope}> = [];
		for (let pass = 0; pass < Math.min(byScope.size, 2) || pass === 0; pass++) {
			const known = blames;
			this.#findings = new Map([...byScope].map(([key, {scope, crashes}]) => [key, {scope, findings: infer(crashes, this.#knowledgeOf(scope, known))}]));
			blames = [...this.#findings.values()].flatMap(({scope, findings}) => findings.blames.map(blame => ({...blame, scope})));
		}

		this.#inferredAt = this.changeCount;
		return this.#findings;
	}

	#knowledgeOf(scope: Scope, blames: ReadonlyArray<Blame & {readonly scope: Scope}>): CauseKnowledge {
		const {service, version} = scope;
		return {
			findAnswer: cause => this.#answers.findTime(scope, cause),
			hasBegun: cause => this.#beginnings.findTime(scope, cause) !== undefined,
			findPardon: cause => {
				const order = this.#orders.findOrder(service, cause);
				return order?.action === 'lift' ? order.at : undefined;
			},
			hasRecord: cause => this.#orders.findOrder(service, cause)?.action === 'lift'
				|| blames.some(blame => blame.scope.service === service && blame.scope.version !== version && blame.causes.includes(cause)),
		};
	}

	/** Whether an answer changes what is known: it is the first one though engines of some version crashed, or the first one since a crash. */
	#isNews(scope: Scope, cause: Cause, at: number): boolean {
		const previous = this.#answers.findTime(scope, cause);
		if (previous === undefined) {
			return this.#crashes.findLastUnder(scope.service, cause) !== undefined;
		}

		const crash = this.#crashes.findLastUnder(scope, cause);
		return crash !== undefined && previous < crash && at >= crash;
	}

	#prune(now: number): void {
		if (now - this.#prunedAt < pruneIntervalMs) {
			return;
		}

		this.#prunedAt = now;
		const needed = new Set([...this.#infer().values()].flatMap(({findings}) => findings.blames.flatMap(({crashes}) => crashes)));
		this.#crashes.prune(now, crash => needed.has(crash));
	}
}
