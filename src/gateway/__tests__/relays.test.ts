/** A large fleet in one process, over real sockets: what one host sends, all hosts know, also when relays end. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	describe, expect, it, vi,
} from 'vitest';
import {takePort} from '../../../bench/fleet/ports.js';
import {absenceOf} from '../../core/gateway/absences.js';
import {Load, type Job} from '../../core/gateway/load.js';
import {ignore} from '../../entry/ignore.js';
import {type Log} from '../../entry/logs.js';
import {News} from '../news.js';
import {type Host, type Message} from '../peers/messages.js';
import {Peers} from '../peers/peers.js';
import {relaysOf} from '../peers/topology.js';

/** Lines of the log are no part of these tests. */
const quiet: Pick<Log, 'write'> = {
	write: ignore,
};

function job(id: string, host: string, readPerPass = 5): Job {
	const now = performance.now();
	return {
		id, host, upstream: 'e1', helpers: [], prompt: 100, answer: 10, isHeld: false, read: 5, readPerPass, placing: 'first', weight: 1,
		began: now, due: now + 1000, deadline: now + 60_000,
	};
}

class Member implements AsyncDisposable {
	readonly host: Host;
	readonly load = new Load();
	readonly peers: Peers;
	readonly news: News;
	/** Upstreams that peers say are not there. */
	readonly absent: string[] = [];
	/** Jobs of other hosts of the same failure domain. */
	readonly neighbours: string[] = [];
	/** Messages of load that came. */
	loads = 0;
	/** Called when a relay has answered a question. */
	#answered: (() => void) | undefined;

	constructor(host: Host, seeds: readonly Host[]) {
		this.host = host;
		const now = () => performance.now();
		this.peers = new Peers({
			self: host,
			seeds: seeds.map(each => each.address),
			log: quiet,
			now,
			events: {
				joined: (other, send) => {
					this.news.joined(other, send);
				},
				message: (from, message) => {
					this.hear(from, message);
				},
				lost: (other, reason) => {
					this.news.lost(other, reason);
				},
			},
		});
		this.news = new News({
			self: host.name, failureDomain: host.failureDomain, load: this.load, peers: this.peers, now, modelAt: () => undefined, absent: absence => {
				this.absent.push(absence.upstream);
			},
			sent: sent => {
				this.neighbours.push(sent.id);
			},
		});
	}

	begin(id: string, readPerPass?: number): void {
		this.news.begin(job(id, this.host.name, readPerPass));
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.peers[Symbol.asyncDispose]();
	}

	/** What holds when a relay next answers a question. */
	async answer(holds: () => boolean): Promise<boolean> {
		return new Promise(resolve => {
			this.#answered = () => {
				resolve(holds());
			};
		});
	}

	hear(from: Host, message: Message): void {
		switch (message.type) {
			case 'load': {
				this.loads++;
				this.news.heard(from, message);
				break;
			}

			case 'hosts-lost': {
				this.news.heardLost(message);
				break;
			}

			case 'load-wanted': {
				this.news.wanted(from, message);
				break;
			}

			case 'load-told': {
				this.#answered?.();
				this.news.told(from, message);
				break;
			}

			default: {
				break;
			}
		}
	}
}

class Members implements AsyncDisposable {
	static async start(domains: number, perDomain: number): Promise<Members> {
		const hosts: Host[] = [];
		for (let index = 0; index < domains * perDomain; index++) {
			hosts.push({
				name: `host-${index}`, failureDomain: `domain-${index % domains}`, address: {host: '127.0.0.1', port: await takePort()}, started: 1,
			});
		}

		const members = new Members(hosts.map(host => new Member(host, hosts.slice(0, 2))));
		await Promise.all(members.all.map(async member => member.peers.start()));
		await members.until(() => members.all.every(member => member.peers.isLargeFleet && member.peers.hosts.length === members.linksOf(member)));
		return members;
	}

	all: readonly Member[];

	private constructor(all: readonly Member[]) {
		this.all = all;
	}

	relays(domain: string): readonly Member[] {
		return relaysOf(domain, this.all.map(member => member.host)).map(host => this.all.find(member => member.host === host)!);
	}

	plain(domain: string): readonly Member[] {
		const relays = this.relays(domain);
		return this.all.filter(member => member.host.failureDomain === domain && !relays.includes(member));
	}

	linksOf(member: Member): number {
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

	async know(id: string, isKnown: boolean): Promise<void> {
		await this.until(() => this.all.every(member => (member.load.job(id) !== undefined) === isKnown));
	}

	async end(member: Member): Promise<void> {
		this.all = this.all.filter(each => each !== member);
		await member[Symbol.asyncDispose]();
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await Promise.all(this.all.map(async member => member[Symbol.asyncDispose]()));
	}
}

describe('a fleet of 18 hosts in three domains', () => {
	it('knows what every host sent, its progress and its end', {timeout: 60_000}, async () => {
		await using members = await Members.start(3, 6);
		for (const [index, member] of members.all.entries()) {
			member.begin(`j${index}`);
		}

		for (const [index, member] of members.all.entries()) {
			await members.know(`j${index}`, true);
			member.news.progress(`j${index}`);
			await members.until(() => members.all.every(each => each.load.job(`j${index}`)?.firstByte !== undefined));
			member.news.end(`j${index}`);
			await members.know(`j${index}`, false);
		}
	});

	it('goes on when the relays of a domain end, and forgets what these had sent', {timeout: 60_000}, async () => {
		await using members = await Members.start(3, 6);
		const [first, second] = members.relays('domain-0');
		const [plain] = members.plain('domain-0');
		plain!.begin('kept');
		first!.begin('lost');
		await members.know('kept', true);
		await members.know('lost', true);
		await members.end(first!);
		await members.know('lost', false);
		plain!.begin('later');
		await members.know('later', true);
		await members.end(second!);
		await members.until(() => members.all.every(member => member.peers.hosts.length >= members.linksOf(member)));
		plain!.begin('last');
		await members.know('last', true);
		await members.know('kept', true);
	});

	it('forgets what a host that is no relay had sent, once it is gone', {timeout: 60_000}, async () => {
		await using members = await Members.start(3, 6);
		const [plain] = members.plain('domain-1');
		plain!.begin('lost');
		await members.know('lost', true);
		await members.end(plain!);
		await members.know('lost', false);
	});

	it('tells a host that decides nothing of a busy second in few messages', {timeout: 60_000}, async () => {
		await using members = await Members.start(3, 6);
		const [busy, idle] = members.plain('domain-0');
		const before = idle!.loads;
		const began = performance.now();
		for (let index = 0; index < 150; index++) {
			busy!.begin(`busy-${index}`);
			await sleep(5);
		}

		await members.know('busy-149', true);
		const elapsed = performance.now() - began;
		// A message in 40 ms at most: half of what a relay tells the other domains.
		expect(idle!.loads - before).toBeLessThan(2 + (elapsed / 40));
	});

	it('tells a host that decides all that its relay knows', {timeout: 60_000}, async () => {
		await using members = await Members.start(3, 6);
		const [relay] = members.relays('domain-0');
		const [plain] = members.plain('domain-0');
		for (let index = 0; index < 20; index++) {
			relay!.begin(`known-${index}`);
			const answered = plain!.answer(() => plain!.load.job(`known-${index}`) !== undefined);
			await plain!.news.refresh();
			expect(await answered).toBe(true);
		}
	});

	it('tells a host at once of a long prompt at the engine of its own request', {timeout: 60_000}, async () => {
		await using members = await Members.start(3, 6);
		const [relay] = members.relays('domain-0');
		const [plain] = members.plain('domain-0');
		plain!.begin('own');
		await members.know('own', true);
		const flushed = vi.spyOn(relay!.peers, 'flush');
		relay!.begin('short');
		await members.know('short', true);
		expect(flushed).not.toHaveBeenCalled();
		relay!.begin('long', 500);
		await members.until(() => flushed.mock.calls.length > 0);
		expect(flushed.mock.calls).toEqual([[plain!.host.name]]);
		await members.know('long', true);
	});

	it('hears of an upstream that is not there as far as that holds', {timeout: 60_000}, async () => {
		await using members = await Members.start(3, 6);
		const [plain] = members.plain('domain-0');
		plain!.news.tellAbsence(absenceOf('refused abroad', 'refused', 'domain-1', 'domain-0'));
		plain!.news.tellAbsence(absenceOf('refused at home', 'refused', 'domain-0', 'domain-0'));
		plain!.news.tellAbsence(absenceOf('replaced abroad', 'replaced', 'domain-1', 'domain-0'));
		const others = members.all.filter(member => member !== plain);
		await members.until(() => others.every(member => member.absent.includes('replaced abroad')));
		for (const {host, absent} of others) {
			const abroad = host.failureDomain === 'domain-0' ? ['refused abroad'] : [];
			expect(absent).toEqual([...abroad, 'refused at home', 'replaced abroad']);
		}
	});

	it('counts what the other hosts of a domain send once, and nothing of other domains', {timeout: 60_000}, async () => {
		await using members = await Members.start(3, 6);
		const [relay] = members.relays('domain-0');
		const [plain] = members.plain('domain-0');
		relay!.begin('near');
		members.plain('domain-1')[0]!.begin('far');
		plain!.begin('own');
		await members.know('near', true);
		await members.know('far', true);
		await members.know('own', true);
		relay!.news.joined(plain!.host, message => {
			plain!.hear(relay!.host, message);
		});
		expect(plain!.neighbours).toEqual(['near']);
		expect([relay!.peers.domainHosts, plain!.peers.domainHosts]).toEqual([6, 6]);
	});
});
