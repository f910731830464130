/** A large fleet in one process over real sockets: all hosts receive the load updates of each, also when relays stop. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	describe, expect, it, vi,
} from 'vitest';
import {createAbsence} from '../../core/gateway/health/absences.js';
import {TestFleet} from './test-fleet.js';

describe('a fleet of 18 hosts in three domains', () => {
	it('receives the jobs of every host, their first bytes and their ends', {timeout: 60_000}, async () => {
		await using fleet = await TestFleet.start(3, 6);
		for (const [index, member] of fleet.all.entries()) {
			member.begin(`j${index}`);
		}

		for (const [index, member] of fleet.all.entries()) {
			await fleet.untilKnown(`j${index}`, true);
			member.loadUpdates.progress(`j${index}`);
			await fleet.until(() => fleet.all.every(each => each.load.get(`j${index}`)?.firstByte !== undefined));
			member.loadUpdates.end(`j${index}`);
			await fleet.untilKnown(`j${index}`, false);
		}
	});

	it('is visible to each host as a whole, and a host without links is alone', {timeout: 60_000}, async () => {
		await using fleet = await TestFleet.start(3, 6);
		const shares = () => fleet.all.map(member => member.peers.computeVisibleShare(performance.now()));
		await fleet.until(() => shares().every(share => share === 1));
		const [last] = fleet.nonRelays('domain-0');
		for (const member of fleet.all.filter(each => each !== last)) {
			await fleet.stop(member);
		}

		await fleet.until(() => shares().every(share => share === 1 / 18));
	});

	it('continues when the relays of a domain stop, and removes their jobs', {timeout: 60_000}, async () => {
		await using fleet = await TestFleet.start(3, 6);
		const [first, second] = fleet.relays('domain-0');
		const [plain] = fleet.nonRelays('domain-0');
		plain!.begin('kept');
		first!.begin('lost');
		await fleet.untilKnown('kept', true);
		await fleet.untilKnown('lost', true);
		await fleet.stop(first!);
		await fleet.untilKnown('lost', false);
		plain!.begin('later');
		await fleet.untilKnown('later', true);
		await fleet.stop(second!);
		await fleet.until(() => fleet.all.every(member => member.peers.hosts.length >= fleet.expectedLinks(member)));
		plain!.begin('last');
		await fleet.untilKnown('last', true);
		await fleet.untilKnown('kept', true);
	});

	it('removes the jobs of a stopped host that is not a relay', {timeout: 60_000}, async () => {
		await using fleet = await TestFleet.start(3, 6);
		const [plain] = fleet.nonRelays('domain-1');
		plain!.begin('lost');
		await fleet.untilKnown('lost', true);
		await fleet.stop(plain!);
		await fleet.untilKnown('lost', false);
	});

	it('batches the updates of a busy second for a host that places no requests', {timeout: 60_000}, async () => {
		await using fleet = await TestFleet.start(3, 6);
		const [busy, idle] = fleet.nonRelays('domain-0');
		const before = idle!.loads;
		const began = performance.now();
		for (let index = 0; index < 150; index++) {
			busy!.begin(`busy-${index}`);
			await sleep(5);
		}

		await fleet.untilKnown('busy-149', true);
		const elapsed = performance.now() - began;
		// At most one message in 40 ms: half as many as a relay sends to the other domains.
		expect(idle!.loads - before).toBeLessThan(2 + (elapsed / 40));
	});

	it('batches them also while the other hosts of the domain place requests', {timeout: 60_000}, async () => {
		await using fleet = await TestFleet.start(3, 6);
		const [busy, idle, ...others] = fleet.nonRelays('domain-0');
		const before = idle!.loads;
		const began = performance.now();
		for (let index = 0; index < 150; index++) {
			busy!.begin(`busy-${index}`);
			await others[index % others.length]!.loadUpdates.refresh();
			await sleep(3);
		}

		await fleet.untilKnown('busy-149', true);
		const elapsed = performance.now() - began;
		expect(idle!.loads - before).toBeLessThan(2 + (elapsed / 40));
	});

	it('sends a host all updates of its relay before a placement', {timeout: 60_000}, async () => {
		await using fleet = await TestFleet.start(3, 6);
		const [relay] = fleet.relays('domain-0');
		const [plain] = fleet.nonRelays('domain-0');
		for (let index = 0; index < 20; index++) {
			relay!.begin(`known-${index}`);
			const answered = plain!.checkOnResponse(() => plain!.load.get(`known-${index}`) !== undefined);
			await plain!.loadUpdates.refresh();
			expect(await answered).toBe(true);
		}
	});

	it('sends a host at once the update of a long prompt at the engine of its own request', {timeout: 60_000}, async () => {
		await using fleet = await TestFleet.start(3, 6);
		const [relay] = fleet.relays('domain-0');
		const [plain] = fleet.nonRelays('domain-0');
		plain!.begin('own');
		await fleet.untilKnown('own', true);
		const sent = vi.spyOn(relay!.peers, 'send');
		relay!.begin('short');
		await fleet.untilKnown('short', true);
		expect(sent).not.toHaveBeenCalled();
		relay!.begin('long', {readPerPass: 500});
		await fleet.until(() => sent.mock.calls.length > 0);
		expect(sent.mock.calls.map(([host, message]) => [host, message.type])).toEqual([[plain!.host.name, 'load']]);
		await fleet.untilKnown('long', true);
	});

	it('reports an absent upstream to the hosts for which it is absent', {timeout: 60_000}, async () => {
		await using fleet = await TestFleet.start(3, 6);
		const [plain] = fleet.nonRelays('domain-0');
		plain!.loadUpdates.publishAbsence(createAbsence('refused abroad', 'refused', 'domain-1', 'domain-0'));
		plain!.loadUpdates.publishAbsence(createAbsence('refused at home', 'refused', 'domain-0', 'domain-0'));
		plain!.loadUpdates.publishAbsence(createAbsence('replaced abroad', 'replaced', 'domain-1', 'domain-0'));
		const others = fleet.all.filter(member => member !== plain);
		await fleet.until(() => others.every(member => member.reportedAbsences.includes('replaced abroad')));
		for (const {host, reportedAbsences} of others) {
			const abroad = host.failureDomain === 'domain-0' ? ['refused abroad'] : [];
			expect(reportedAbsences).toEqual([...abroad, 'refused at home', 'replaced abroad']);
		}
	});

	it('reports the return of an upstream to the hosts to which its silence was reported', {timeout: 60_000}, async () => {
		await using fleet = await TestFleet.start(3, 6);
		const [plain] = fleet.nonRelays('domain-0');
		plain!.loadUpdates.publishReturn({upstream: 'abroad', isForAll: false});
		plain!.loadUpdates.publishReturn({upstream: 'at home', isForAll: true});
		const others = fleet.all.filter(member => member !== plain);
		await fleet.until(() => others.every(member => member.reportedReturns.includes('at home')));
		for (const {host, reportedReturns} of others) {
			expect(reportedReturns).toEqual(host.failureDomain === 'domain-0' ? ['abroad', 'at home'] : ['at home']);
		}
	});

	it('reports each job of the other hosts of a domain once, and no job of other domains', {timeout: 60_000}, async () => {
		await using fleet = await TestFleet.start(3, 6);
		const [relay] = fleet.relays('domain-0');
		const [plain] = fleet.nonRelays('domain-0');
		relay!.begin('near');
		fleet.nonRelays('domain-1')[0]!.begin('far');
		plain!.begin('own');
		await fleet.untilKnown('near', true);
		await fleet.untilKnown('far', true);
		await fleet.untilKnown('own', true);
		relay!.loadUpdates.handlePeerJoined(plain!.host, message => {
			plain!.handleMessage(relay!.host, message);
		});
		expect(plain!.domainJobs).toEqual(['near']);
		expect([relay!.peers.domainHostCount, plain!.peers.domainHostCount]).toEqual([6, 6]);
	});
});
