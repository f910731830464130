/** A large fleet in one process over real sockets, for tests of load updates. */
import {setTimeout as sleep} from 'node:timers/promises';
import {claimWorkerPort} from '../../../bench/fleet/ports.js';
import {Load, type Job} from '../../core/gateway/engines/load.js';
import {ignore} from '../../entry/ignore.js';
import {type Log} from '../../entry/logs.js';
import {LoadUpdates, type LoadUpdatesOptions} from '../sharing/load-updates.js';
import {type Host, type Message} from '../peers/messages.js';
import {Peers} from '../peers/peers.js';
import {selectRelays} from '../peers/topology.js';

const silentLog: Pick<Log, 'write'> = {
	write: ignore,
};

function createJob(id: string, host: string, changes: Partial<Job>): Job {
	const now = performance.now();
	return {
		id, host, upstream: 'e1', helpers: [], prompt: 100, answer: 10, isHeld: false, read: 5, readPerPass: 5, placing: 'first', weight: 1,
		began: now, due: now + 1000, deadline: now + 60_000, ...changes,
	};
}

export class TestHost implements AsyncDisposable {
	readonly host: Host;
	readonly load = new Load();
	readonly peers: Peers;
	readonly loadUpdates: LoadUpdates;
	/** Upstreams that peers reported unreachable or replaced. */
	readonly reportedAbsences: string[] = [];
	readonly reportedReturns: string[] = [];
	/** Jobs of other hosts of the same failure domain. */
	readonly domainJobs: string[] = [];
	/** Number of load updates received. */
	loads = 0;
	/** Called when a relay responds to a request. */
	#onResponse: (() => void) | undefined;

	/**
	 * @param host - Host.
	 * @param seeds - Its seeds.
	 * @param changes - Options of load updates that differ from those of a host that knows no engines; undefined for an older host, which announces no groups.
	 */
	constructor(host: Host, seeds: readonly Host[], changes?: Partial<LoadUpdatesOptions>) {
		this.host = host;
		const now = () => performance.now();
		this.peers = new Peers({
			self: host,
			seeds: seeds.map(each => each.address),
			log: silentLog,
			now,
			countGroups: changes === undefined ? undefined : () => this.loadUpdates.groups.update(),
			events: {
				joined: (other, send) => {
					this.loadUpdates.handlePeerJoined(other, send);
				},
				message: (from, message) => {
					this.handleMessage(from, message);
				},
				lost: (other, reason) => {
					this.loadUpdates.handlePeerLost(other, reason);
				},
				groups: (from, count) => {
					this.loadUpdates.handleGroups(from, count);
				},
			},
		});
		this.loadUpdates = new LoadUpdates({
			self: host.name, failureDomain: host.failureDomain, load: this.load, peers: this.peers, now, modelAt: () => undefined, onAbsence: absence => {
				this.reportedAbsences.push(absence.upstream);
			},
			onReturn: upstream => {
				this.reportedReturns.push(upstream);
			},
			onNewJob: ignore,
			onInvalidTag: ignore,
			reports: () => [],
			onClaim: ignore,
			onReport: ignore,
			onPace: ignore,
			isCounted: () => false,
			findService: () => 'service',
			onSum: ignore,
			sent: sent => {
				this.domainJobs.push(sent.id);
			},
			...changes,
		});
	}

	begin(id: string, changes: Partial<Job> = {}): void {
		this.loadUpdates.begin(createJob(id, this.host.name, changes));
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.peers[Symbol.asyncDispose]();
	}

	/** Evaluates a condition when a relay next responds to a request. */
	async checkOnResponse(holds: () => boolean): Promise<boolean> {
		return new Promise(resolve => {
			this.#onResponse = () => {
				resolve(holds());
			};
		});
	}

	handleMessage(from: Host, message: Message): void {
		switch (message.type) {
			case 'load': {
				this.loads++;
				this.loadUpdates.handleUpdate(from, message);
				break;
			}

			case 'hosts-lost': {
				this.loadUpdates.handleHostsLost(message);
				break;
			}

			case 'load-wanted': {
				this.loadUpdates.handleRequest(from, message);
				break;
			}

			case 'load-told': {
				this.#onResponse?.();
				this.loadUpdates.handleResponse(from, message);
				break;
			}

			default: {
				break;
			}
		}
	}
}

export class TestFleet implements AsyncDisposable {
	/**
	 * @param domains - Number of failure domains.
	 * @param perDomain - Hosts of each.
	 * @param configure - Returns options of a host's load updates; undefined for an older host.
	 */
	static async start(domains: number, perDomain: number, configure: (index: number) => Partial<LoadUpdatesOptions> | undefined = () => ({})): Promise<TestFleet> {
		const hosts: Host[] = [];
		for (let index = 0; index < domains * perDomain; index++) {
			hosts.push({
				name: `host-${index}`, failureDomain: `domain-${index % domains}`, address: {host: '127.0.0.1', port: await claimWorkerPort()}, started: 1,
			});
		}

		const fleet = new TestFleet(hosts.map((host, index) => new TestHost(host, hosts.slice(0, 2), configure(index))));
		await Promise.all(fleet.all.map(async member => member.peers.start()));
		await fleet.until(() => fleet.all.every(member => member.peers.isLargeFleet && member.peers.hosts.length === fleet.expectedLinks(member)));
		return fleet;
	}

	all: readonly TestHost[];

	private constructor(all: readonly TestHost[]) {
		this.all = all;
	}

	relays(domain: string): readonly TestHost[] {
		return selectRelays(domain, this.all.map(member => member.host)).map(host => this.all.find(member => member.host === host)!);
	}

	nonRelays(domain: string): readonly TestHost[] {
		const relays = this.relays(domain);
		return this.all.filter(member => member.host.failureDomain === domain && !relays.includes(member));
	}

	expectedLinks(member: TestHost): number {
		const {failureDomain} = member.host;
		const hosts = this.all.filter(each => each.host.failureDomain === failureDomain).length;
		const foreign = new Set(this.all.map(each => each.host.failureDomain)).size - 1;
		return this.relays(failureDomain).includes(member) ? hosts - 1 + (2 * foreign) : 2;
	}

	async until(holds: () => boolean): Promise<void> {
		while (!holds()) {
			await sleep(20);
		}
	}

	async untilKnown(id: string, isKnown: boolean): Promise<void> {
		await this.until(() => this.all.every(member => (member.load.get(id) !== undefined) === isKnown));
	}

	async stop(member: TestHost): Promise<void> {
		this.all = this.all.filter(each => each !== member);
		await member[Symbol.asyncDispose]();
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await Promise.all(this.all.map(async member => member[Symbol.asyncDispose]()));
	}
}
