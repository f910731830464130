/** Usual use learned from a peer: peers that are older, wrong or unresponsive must leave a host that starts as it is without one. */
import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {createUpstream} from '../../core/gateway/__tests__/fixtures.js';
import {type LogLine} from '../../entry/logs.js';
import {OrganisationShares} from '../organisations/organisation-shares.js';
import {ShareLearning} from '../organisations/share-learning.js';
import {toWireHistories} from '../organisations/share-messages.js';
import {createMessageReader, encode, type Message} from '../peers/messages.js';
import {createJob} from './jobs.js';

const demand = {
	id: 'r', service: 'model', kind: 'idempotent', priority: 0, arrived: 0, due: 0, deadline: 0,
} as const;

function createLog(lines: LogLine[]) {
	return {
		write(line: LogLine) {
			lines.push(line);
		},
	};
}

class TestHost implements Disposable {
	now = 0;
	readonly sent: Array<{readonly peer: string; readonly message: Message}> = [];
	readonly lines: LogLine[] = [];
	readonly shares = new OrganisationShares({
		log: createLog(this.lines), now: () => this.now, findUpstream: id => createUpstream(id), countRequests: () => 0,
	});

	readonly learning: ShareLearning;

	constructor(peers: readonly string[], hasOrganisations = true) {
		this.learning = new ShareLearning({
			log: createLog(this.lines),
			now: () => this.now,
			shares: this.shares,
			hasOrganisations: () => hasOrganisations,
			listPeers: () => peers,
			send: (peer, message) => {
				this.sent.push({peer, message});
			},
		});
	}

	/** Counts requests of ten organisations, each at the same rate, and of one more in excess. */
	play(milliseconds: number, excess = 0): void {
		const end = this.now + milliseconds;
		for (; this.now < end; this.now += 100) {
			for (let index = 0; index < 10; index++) {
				this.#count(`org${index}`);
			}

			for (let index = 0; index < excess; index++) {
				this.#count('org0');
			}
		}
	}

	/** Whether a request of an organisation is refused while the service is full. */
	refuses(organisation: string): boolean {
		return this.shares.findExcess(organisation, demand, undefined) !== undefined;
	}

	receive(peer: string, shares: unknown): boolean {
		const [message] = createMessageReader().push(encode({type: 'load-told', ask: 0, shares}));
		return message?.type === 'load-told' && this.learning.handleResponse(peer, message);
	}

	[Symbol.dispose](): void {
		this.learning[Symbol.dispose]();
	}

	#count(organisation: string): void {
		this.shares.countJob(createJob({organisation, isDelayed: true, began: this.now}));
	}
}

function createPeer(excess = 0): TestHost {
	const peer = new TestHost([]);
	peer.play(60_000);
	peer.play(2000, excess);
	return peer;
}

function replace(history: unknown, change: object): object {
	return typeof history === 'object' ? {...history, ...change} : change;
}

afterEach(() => {
	vi.useRealTimers();
});

describe('a host that starts in the middle of an excess', () => {
	it('judges as its peer does, at once, and counts no request twice', () => {
		using peer = createPeer(30);
		using host = new TestHost(['peer']);
		expect(peer.refuses('org0')).toBe(true);
		host.now = 100;
		host.play(1000, 30);
		expect(host.refuses('org0')).toBe(false);
		host.learning.proceed();
		expect(host.sent).toEqual([{peer: 'peer', message: {type: 'load-wanted', ask: 0, shares: true}}]);
		expect(peer.learning.handleRequest('host', {type: 'load-wanted', ask: 0, shares: true})).toBe(true);
		expect(host.receive('peer', toWireHistories(peer.shares.histories))).toBe(true);
		expect([host.refuses('org0'), host.refuses('org1')]).toEqual([true, false]);
		host.shares.countJob(createJob({organisation: 'new', began: host.now - 500}));
		expect([host.shares.size, host.learning.learnedCount]).toEqual([10, 10]);
		expect(host.lines).toEqual([{
			event: 'shares-learned', peer: 'peer', services: ['model'], organisations: 10,
		}]);
	});

	it('asks the next of at most four peers if one is older, has no history or does not respond', () => {
		vi.useFakeTimers();
		using host = new TestHost(['a', 'b', 'c', 'd', 'e']);
		host.learning.proceed();
		host.receive('b', []);
		host.receive('a', undefined);
		host.receive('b', []);
		vi.advanceTimersByTime(5000);
		expect(host.sent.map(({peer}) => peer)).toEqual(['a', 'b', 'c', 'd']);
		expect(host.lines).toEqual([]);
	});

	it('keeps its own history, and asks nobody without organisations', () => {
		using peer = createPeer(30);
		using host = new TestHost(['peer']);
		host.play(7000);
		host.learning.proceed();
		host.receive('peer', toWireHistories(peer.shares.histories));
		expect([host.refuses('org0'), host.learning.learnedCount]).toEqual([false, 0]);
		using without = new TestHost(['peer'], false);
		without.learning.proceed();
		expect(without.sent).toEqual([]);
	});

	it.each<[string, (history: unknown) => unknown]>([
		['a list', () => 7],
		['a usual use', history => [replace(history, {usual: Number.NaN})]],
		['a total', history => [replace(history, {usual: 1})]],
		['a history', history => [replace(history, {history: -1})]],
		['a list of organisations', history => [replace(history, {organisations: [{organisation: ''}]})]],
	])('ignores %s that can not be right, with one log line', (_, change) => {
		using peer = createPeer(30);
		using host = new TestHost(['peer']);
		host.learning.proceed();
		const [history] = toWireHistories(peer.shares.histories);
		expect(host.receive('peer', change(history))).toBe(true);
		expect(host.lines).toMatchObject([{event: 'shares-ignored', peer: 'peer'}]);
		expect(host.shares.size).toBe(0);
	});
});

it('names the largest organisations in a bounded message, and counts the others', () => {
	using peer = new TestHost([]);
	for (let index = 0; index < 8192; index++) {
		peer.shares.countJob(createJob({organisation: `o${index}`, weight: index + 1, began: 0}));
	}

	peer.now = 7000;
	const histories = toWireHistories(peer.shares.histories);
	expect(histories).toMatchObject([{unnamed: 8192 - 256}]);
	expect(encode({type: 'load-told', ask: 0, shares: histories}).length).toBeLessThan(20_000);
	using host = new TestHost(['peer']);
	host.learning.proceed();
	host.receive('peer', histories);
	expect(host.shares.size).toBe(256);
});
