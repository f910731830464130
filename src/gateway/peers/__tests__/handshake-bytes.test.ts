/** Guards against a handshake that costs much more with identities or keys than without, when a whole fleet starts at once. */
import {
	afterEach, expect, it, vi,
} from 'vitest';
import {claimWorkerPort} from '../../../../bench/fleet/ports.js';
import {type GatewayUpstream} from '../../../core/gateway/types.js';
import {ignore} from '../../../entry/ignore.js';
import {FleetView} from '../fleet-view.js';
import {type Identification} from '../gatekeeper.js';
import {Link} from '../link.js';
import {createMessageReader, encode} from '../messages.js';
import {Peers} from '../peers.js';

const hostCount = 84;
/** Of the fleet, known to every host when the start is over: those that aren't relays learn of the last hosts later. */
const knownHostCount = 60;
const maxAddedShare = 0.1;
const loopback = '127.0.0.1';

afterEach(() => {
	vi.restoreAllMocks();
});

/** Counts the bytes of all frames, and those of identities and of authentication among them. */
function countBytes(): {readonly all: number; readonly added: number} {
	const counts = {all: 0, added: 0};
	const {write} = Link.prototype;
	vi.spyOn(Link.prototype, 'write').mockImplementation(function (this: Link, frame) {
		counts.all += frame.length;
		for (const message of createMessageReader().push(frame)) {
			if (message.type === 'challenge' || message.type === 'proof') {
				counts.added += frame.length;
			} else if (message.type === 'hello') {
				const {fleet: _, ...rest} = message;
				counts.added += frame.length - encode(rest).length;
			}
		}

		write.call(this, frame);
	});
	return counts;
}

it.each<readonly [string, (index: number) => Identification]>([
	['identities of a fleet whose hosts know 600 upstreams', () => {
		const all = Array.from({length: 600}, (_, index): GatewayUpstream => ({
			id: `engine-${index}`, service: 'model', address: {host: '10.0.0.1', port: 1000 + index}, failureDomain: 'a', slots: 8, isDraining: false,
		}));
		return {type: 'knowledge', view: new FleetView({host: 'store', port: 1}, () => ({all, changeCount: 0}))};
	}],
	['two keys', () => ({type: 'keys', keys: ['the old key of the fleet', 'the new key of the fleet']})],
])('%s add at most a tenth to the bytes of a start of 84 hosts', {timeout: 60_000}, async (name, identify) => {
	const counts = countBytes();
	const ports: number[] = [];
	while (ports.length < hostCount) {
		ports.push(await claimWorkerPort());
	}

	const fleet = ports.map((port, index) => new Peers({
		self: {
			name: `host-${index}`, failureDomain: `domain-${index % 3}`, address: {host: loopback, port}, started: 1_700_000_000_000 + index, capacity: 1,
		},
		seeds: ports.slice(0, 3).map(seed => ({host: loopback, port: seed})),
		identification: identify(index),
		log: {write: ignore},
		now: () => performance.now(),
		events: {joined: ignore, message: ignore, lost: ignore},
	}));
	try {
		await Promise.all(fleet.map(async peers => peers.start()));
		await expect.poll(() => fleet.every(peers => peers.fleetSize >= knownHostCount), {timeout: 30_000}).toBe(true);
	} finally {
		await Promise.all(fleet.map(async peers => peers[Symbol.asyncDispose]()));
	}

	const share = counts.added / (counts.all - counts.added);
	console.log(`${name}: ${counts.all} bytes, of which ${counts.added} were added: ${(100 * share).toFixed(1)}%`);
	expect(share).toBeLessThan(maxAddedShare);
});
