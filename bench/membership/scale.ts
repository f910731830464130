/**
 * Measures what membership, configuration, stops and placement cost the core of one host in a large fleet; prints one JSON
 * line. The other features are left out, because the simulated peers do not reply.
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
const tickIntervalMs = 25;
const seconds = 60;

/** Nine within the failure domain, where a host accepts about as many links as it dials, and three to other domains. */
const maxLinks = 12;
const secondMs = 1000;

function buildMember(domain: number, index: number): Member {
	return {
		incarnation: {host: `host-${domain}-${index}`, started: 1},
		failureDomain: `domain-${domain}`,
		peerAddress: {host: `10.${domain}.0.${index}`, port: 7000},
		callerAddress: {host: `10.${domain}.0.${index}`, port: 8000},
	};
}

const self = buildMember(0, 0);
const members = Array.from({length: domainCount}, (_, domain) =>
	Array.from({length: hostsPerDomain}, (_unused, index) => buildMember(domain, index))).flat().filter(member => member.incarnation.host !== self.incarnation.host);
let state: State = initialState(self);
let now = 0;
const bytesSent = new Map<string, number>();
const timeByEvent = new Map<Event['type'], {events: number; milliseconds: number}>();
const linkedHosts = new Set<string>();

const features = [configurationFeature, membershipFeature, stopsFeature, placementFeature];

function dispatch(event: Event): void {
	const began = performance.now();
	const context = {now, wall: now, random: {integer: (least: number) => least}};
	const effects = features.flatMap(feature => {
		const next = feature.handle(state, event, context);
		state = next.state;
		return next.effects;
	});
	const before = timeByEvent.get(event.type) ?? {events: 0, milliseconds: 0};
	timeByEvent.set(event.type, {events: before.events + 1, milliseconds: before.milliseconds + performance.now() - began});
	for (const effect of effects) {
		if (effect.type === 'connect' && linkedHosts.size < maxLinks) {
			linkedHosts.add(effect.host);
		} else if (effect.type === 'peer-send') {
			const {type} = effect.message;
			bytesSent.set(type, (bytesSent.get(type) ?? 0) + encodeFrame(effect.message).length);
		}
	}
}

/** Delivers a heartbeat from every linked peer, as large as a busy host's: its loads, and relayed heartbeats of six other hosts. */
function deliverHeartbeats(sequence: number): void {
	for (const [linkIndex, host] of [...linkedHosts].entries()) {
		const relayed = Array.from({length: 6}, (_, index) => members[((sequence * 6) + index + (linkIndex * 7)) % members.length]!);
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
					upstream: `engine-${(linkIndex + index) % 75}`, requests: 3, prefill: 1000 * sequence, decode: 300,
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
for (const host of linkedHosts) {
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
		// Leaves out the first seconds, in which code runs cold and tables fill.
		timeByEvent.clear();
		bytesSent.clear();
	}

	deliverHeartbeats(sequence);
	for (let tick = 0; tick < secondMs / tickIntervalMs; tick++) {
		now += tickIntervalMs;
		dispatch({type: 'tick'});
	}
}

const measuredSeconds = seconds - 9;
const figures = Object.fromEntries([...timeByEvent].map(([type, {events, milliseconds}]) => [type, {
	eventsPerSecond: Math.round(events / measuredSeconds),
	microsecondsPerEvent: Math.round(milliseconds * secondMs / events),
	corePercent: Math.round(milliseconds / measuredSeconds / secondMs * 100_000) / secondMs,
}]));
process.stdout.write(`${JSON.stringify({
	members: members.length + 1, links: linkedHosts.size, bytesSentPerSecond: Object.fromEntries([...bytesSent].map(([type, bytes]) => [type, Math.round(bytes / measuredSeconds)])), ...figures,
})}\n`);
