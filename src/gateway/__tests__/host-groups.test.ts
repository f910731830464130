/**
 * A failure domain of 52 hosts in one process over real sockets. Guards against load updates that grow with the square of the fleet, and
 * against counts of the whole fleet that miss or repeat the jobs that a group doesn't receive.
 */
import {Decoder} from 'cbor-x';
import {expect, it, vi} from 'vitest';
import {type Job} from '../../core/gateway/engines/load.js';
import {isEngineOf, type HostGroup} from '../../core/gateway/registry/host-groups.js';
import {type EngineModel} from '../../core/gateway/types.js';
import {Link} from '../peers/link.js';
import {TestFleet, type TestHost} from './test-fleet.js';

const domainHosts = 52;
const timeout = 60_000;

const model: EngineModel = {
	slots: 8, memory: 200_000, stride: 8, step: 5, perRequest: 0.2, perThousand: 0.05, readRate: 200, pairs: 0.01, chunk: 2048, hop: 0, usualPrompt: 5000, usualAnswer: 200,
};

/** What the hosts of a fleet count, by index. */
class Counts {
	readonly jobs = new Map<number, number>();

	add(index: number, count: number): void {
		this.jobs.set(index, (this.jobs.get(index) ?? 0) + count);
	}
}

/** Starts a domain whose host with the highest index may be an older one. */
async function startDomain(counts: Counts, older = -1): Promise<TestFleet> {
	const fleet = await TestFleet.start(1, domainHosts, index => index === older
		? undefined
		: {
			modelAt: upstream => upstream.startsWith('e') ? model : undefined,
			isCounted: upstream => upstream === 'e-limited',
			onNewJob() {
				counts.add(index, 1);
			},
			onSum({count}) {
				counts.add(index, count);
			},
		});
	await fleet.until(() => fleet.relays('domain-0').every(relay => fleet.nonRelays('domain-0').every(({host}) => host.name === `host-${older}` || relay.loadUpdates.groups.findGroup(host.name) !== undefined)));
	return fleet;
}

function groupOf(member: TestHost): HostGroup {
	return member.loadUpdates.groups.own!;
}

/** Engines of two groups, by group. */
function findEngines(): readonly string[] {
	return [0, 1].map(index => Array.from({length: 20}, (_, each) => `e${each}`).find(id => isEngineOf(id, {index, count: 2}))!);
}

it('hosts receive short jobs of their group, all others and each end, and count every job once', {timeout}, async () => {
	const counts = new Counts();
	await using fleet = await startDomain(counts);
	const engines = findEngines();
	const plain = fleet.nonRelays('domain-0');
	const cases: Readonly<Record<string, Partial<Job>>> = {
		long: {readPerPass: 100},
		memory: {prompt: 12_500},
		held: {isHeld: true},
		helped: {helpers: ['e99']},
		retry: {placing: 'retry'},
		limited: {upstream: 'e-limited'},
		plain: {upstream: 'p1'},
	};
	for (const [id, changes] of Object.entries(cases)) {
		plain[0]!.begin(id, {upstream: engines[0], ...changes});
	}

	// Each host begins a short job at an engine of either group: some are outside its own one.
	for (const [index, member] of fleet.all.entries()) {
		member.begin(`short-${index}`, {upstream: engines[index % 2]});
	}

	for (const id of Object.keys(cases)) {
		await fleet.untilKnown(id, true);
	}

	const total = Object.keys(cases).length + fleet.all.length;
	await fleet.until(() => fleet.all.every((_, index) => counts.jobs.get(index) === total));
	for (const member of plain) {
		for (const [index, sender] of fleet.all.entries()) {
			const isReceived = isEngineOf(engines[index % 2]!, groupOf(member)) || sender.loadUpdates.groups.own?.index === groupOf(member).index;
			expect(member.load.get(`short-${index}`) !== undefined).toBe(isReceived);
		}
	}

	for (const relay of fleet.relays('domain-0')) {
		expect(relay.load.size).toBe(total);
	}

	for (const [index, member] of fleet.all.entries()) {
		member.loadUpdates.end(`short-${index}`);
	}

	for (const id of Object.keys(cases)) {
		plain[0]!.loadUpdates.end(id);
	}

	await fleet.until(() => fleet.all.every(member => member.load.size === 0));
	expect([...counts.jobs.values()]).toEqual(fleet.all.map(() => total));
});

it('a batch is encoded once for each group and a host gets about half of the bytes, an older host all of them', {timeout}, async () => {
	const older = domainHosts - 1;
	await using fleet = await startDomain(new Counts(), older);
	const bytes = new Map<string, number>();
	const frames = new Set<Uint8Array>();
	/** Those for the hosts that receive everything. */
	const batches = new Set<Uint8Array>();
	const {writeBatched} = Link.prototype;
	vi.spyOn(Link.prototype, 'writeBatched').mockImplementation(function (this: Link, frame, delay) {
		const {name} = this.hello!.from;
		bytes.set(name, (bytes.get(name) ?? 0) + frame.length);
		frames.add(frame);
		if (name === `host-${older}`) {
			batches.add(frame);
		}

		writeBatched.call(this, frame, delay);
	});
	const jobs: string[] = [];
	for (const member of fleet.nonRelays('domain-0')) {
		const group = member.loadUpdates.groups.own;
		for (const engine of Array.from({length: 16}, (_, index) => `e${index}`).filter(id => group === undefined || isEngineOf(id, group))) {
			jobs.push(`${member.host.name} at ${engine}`);
			member.begin(jobs.at(-1)!, {upstream: engine});
		}
	}

	const olderHost = fleet.all[older]!;
	await fleet.until(() => jobs.every(id => olderHost.load.get(id) !== undefined));
	vi.restoreAllMocks();
	// Each batch is encoded for two groups and for the hosts that receive everything.
	expect(frames.size).toBeLessThanOrEqual(3 * batches.size);
	const all = bytes.get(olderHost.host.name)!;
	const shares = fleet.nonRelays('domain-0').filter(member => member !== olderHost).map(({host}) => bytes.get(host.name)! / all);
	expect(Math.max(...shares)).toBeLessThan(0.7);
	expect(olderHost.load.size).toBe(jobs.length);
});

it('continues when the relays stop one after the other, and a host that becomes a relay receives everything', {timeout}, async () => {
	await using fleet = await startDomain(new Counts());
	const engines = findEngines();
	const [first, second, ...plain] = [...fleet.relays('domain-0'), ...fleet.nonRelays('domain-0')];
	for (const [index, member] of plain.entries()) {
		member.begin(`kept-${index}`, {upstream: engines[index % 2]});
	}

	for (const stopped of [first!, second!]) {
		await fleet.until(() => fleet.relays('domain-0').every(relay => relay.load.size === plain.length && relay.loadUpdates.groups.own === undefined));
		await fleet.stop(stopped);
		await fleet.until(() => fleet.all.every(member => member.peers.hosts.length >= fleet.expectedLinks(member)));
	}

	await fleet.until(() => fleet.relays('domain-0').every(relay => relay.load.size === plain.length));
	for (const [index, member] of plain.entries()) {
		member.loadUpdates.end(`kept-${index}`);
	}

	await fleet.until(() => {
		for (const member of fleet.all) {
			member.loadUpdates.removeForeignJobs();
		}

		return fleet.all.every(member => member.load.size === 0);
	});
});

it('a domain of up to 48 hosts sends none of the fields of groups', {timeout}, async () => {
	const seen = new Set<string>();
	const jobs: string[] = [];
	const decoder = new Decoder({useRecords: true, mapsAsObjects: true});
	const {write, writeBatched} = Link.prototype;
	let loadBytes = 0;
	const record = (frame: Uint8Array) => {
		// A frame starts with the length of its message in four bytes.
		const message: unknown = decoder.decode(frame.subarray(4));
		const entries = typeof message === 'object' && message !== null ? Object.entries(message) : [];
		seen.add(`${entries[0]?.[1]}: ${entries.map(([name]) => name).join(' ')}`);
		loadBytes += entries[0]?.[1] === 'load' ? frame.length : 0;
		jobs.push(JSON.stringify(entries.filter(([name]) => name === 'began')));
	};

	vi.spyOn(Link.prototype, 'write').mockImplementation(function (this: Link, frame) {
		record(frame);
		write.call(this, frame);
	});
	vi.spyOn(Link.prototype, 'writeBatched').mockImplementation(function (this: Link, frame, delay) {
		record(frame);
		writeBatched.call(this, frame, delay);
	});
	await using fleet = await TestFleet.start(3, 6, () => ({modelAt: () => model, isCounted: () => true}));
	fleet.nonRelays('domain-0')[0]!.begin('short');
	await fleet.untilKnown('short', true);
	await fleet.until(() => [...seen].some(message => message.includes('silent')));
	vi.restoreAllMocks();
	expect(fleet.all.reduce((sum, member) => sum + (member.peers.sentBytes.get('load') ?? 0), 0)).toBe(loadBytes);
	expect([...seen].filter(message => /^(?:hello|load):/v.test(message)).toSorted()).toEqual([
		'hello: type from known state fleet',
		'load: type began progressed ended absences reports cold paces claims audience',
	]);
	expect([...seen].filter(message => message.startsWith('heartbeat')).every(message => /^heartbeat: type known(?: silent state)?$/v.test(message))).toBe(true);
	expect(jobs.join('')).not.toContain('isForAll');
});
