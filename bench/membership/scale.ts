/**
 * Measures what membership, adoption, stops and placement cost the core of one host of a large fleet; prints one JSON line.
 * The other features are left out: the peers here are figures, which answer nothing.
 */
import process from 'node:process';
import {
	initialState, type Event, type Member, type State,
} from '../../src/core/index.js';
import {configurationFeature} from '../../src/core/features/configuration/feature.js';
import {membershipFeature} from '../../src/core/features/membership/feature.js';
import {placementFeature} from '../../src/core/features/placement/feature.js';
import {stopsFeature} from '../../src/core/features/stops/feature.js';
import {encodeFrame} from '../../src/protocol/peers.js';

const domainCount = 8;
const hostsPerDomain = 42;
const tickInterval = 25;
const seconds = 60;

/** Nine of the own domain, as many dial as are dialled, and three of others. */
const mostLinks = 12;
const second = 1000;

function memberOf(domain: number, index: number): Member {
	return {
		incarnation: {host: `host-${domain}-${index}`, started: 1},
		failureDomain: `domain-${domain}`,
		peerAddress: {host: `10.${domain}.0.${index}`, port: 7000},
		callerAddress: {host: `10.${domain}.0.${index}`, port: 8000},
	};
}

const self = memberOf(0, 0);
const members = Array.from({length: domainCount}, (_, domain) =>
	Array.from({length: hostsPerDomain}, (_unused, index) => memberOf(domain, index))).flat().filter(member => member.incarnation.host !== self.incarnation.host);
let state: State = initialState(self);
let now = 0;
const sent = new Map<string, number>();
const spent = new Map<Event['type'], {events: number; milliseconds: number}>();
const linked = new Set<string>();

const features = [configurationFeature, membershipFeature, stopsFeature, placementFeature];

function dispatch(event: Event): void {
	const began = performance.now();
	const context = {now, wall: now, random: {integer: (least: number) => least}};
	const effects = features.flatMap(feature => {
		const next = feature.handle(state, event, context);
		state = next.state;
		return next.effects;
	});
	const before = spent.get(event.type) ?? {events: 0, milliseconds: 0};
	spent.set(event.type, {events: before.events + 1, milliseconds: before.milliseconds + performance.now() - began});
	for (const effect of effects) {
		if (effect.type === 'connect' && linked.size < mostLinks) {
			linked.add(effect.host);
		} else if (effect.type === 'peer-send') {
			const {type} = effect.message;
			sent.set(type, (sent.get(type) ?? 0) + encodeFrame(effect.message).length);
		}
	}
}

/** Every peer that has a link sends a heartbeat as large as those of a busy host: loads, and six others passed on. */
function hearLinks(sequence: number): void {
	for (const [place, host] of [...linked].entries()) {
		const relayed = Array.from({length: 6}, (_, index) => members[((sequence * 6) + index + (place * 7)) % members.length]!);
		dispatch({
			type: 'peer-message',
			from: host,
			message: {
				type: 'heartbeat',
				sequence,
				phase: 'serving',
				revision: 1,
				digest: '0123456789abcdef',
				whole: true,
				loads: Array.from({length: 8}, (_, index) => ({
					upstream: `engine-${(place + index) % 75}`, requests: 3, prefill: 1000 * sequence, decode: 300,
				})),
				demands: [],
				suspicions: [],
				members: [],
				relayed: relayed.map(({incarnation}) => ({
					incarnation, sequence, phase: 'serving', revision: 1, loads: [], demands: [],
				})),
			},
		});
	}
}

dispatch({type: 'hosts-listed', members, leaving: []});
dispatch({type: 'tick'});
for (const host of linked) {
	const member = members.find(each => each.incarnation.host === host)!;
	dispatch({type: 'peer-connected', host});
	dispatch({
		type: 'peer-message', from: host, message: {
			type: 'hello', member, phase: 'serving', revision: 0,
		},
	});
}

for (let sequence = 1; sequence <= seconds; sequence++) {
	if (sequence === 10) {
		// The first seconds run cold and fill the tables.
		spent.clear();
		sent.clear();
	}

	hearLinks(sequence);
	for (let tick = 0; tick < second / tickInterval; tick++) {
		now += tickInterval;
		dispatch({type: 'tick'});
	}
}

const measured = seconds - 9;
const figures = Object.fromEntries([...spent].map(([type, {events, milliseconds}]) => [type, {
	eventsPerSecond: Math.round(events / measured),
	microsecondsPerEvent: Math.round(milliseconds * second / events),
	corePercent: Math.round(milliseconds / measured / second * 100_000) / second,
}]));
process.stdout.write(`${JSON.stringify({
	members: members.length + 1, links: linked.size, bytesSentPerSecond: Object.fromEntries([...sent].map(([type, bytes]) => [type, Math.round(bytes / measured)])), ...figures,
})}\n`);
