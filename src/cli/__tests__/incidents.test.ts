import {expect, it} from 'vitest';
import {summarise} from '../commands/incidents.js';
import {parseLog} from '../log-lines.js';

function line(milliseconds: number, host: string, fields: Readonly<Record<string, unknown>>): string {
	const time = new Date(1_800_000_000_000 + milliseconds).toISOString();
	return JSON.stringify({
		time, level: 'warn', host, ...fields,
	});
}

it('lists a host once for an event that it logs repeatedly', () => {
	const lines = [0, 200, 400].flatMap(at => ['host-1', 'host-2'].map(host => line(at, host, {event: 'store-lost', detail: 'reset'})));
	const {happenings} = summarise(parseLog(lines.join('\n')));
	expect(happenings).toMatchObject([{event: 'store-lost', hosts: ['host-1', 'host-2'], detail: 'reset'}]);
});

it('separates events of different upstreams and failure domains', () => {
	const lines = [
		line(0, 'host-1', {event: 'upstream-doubted', upstream: 'e1', risk: 0.2}),
		line(10, 'host-2', {event: 'upstream-doubted', upstream: 'e2', risk: 0.2}),
		line(20, 'host-2', {event: 'domain-unreachable', domain: 'b', reason: 'attempts fail'}),
		line(2500, 'host-1', {event: 'upstream-trusted', upstream: 'e1'}),
	];
	const descriptions = summarise(parseLog(lines.join('\n'))).happenings.map(each => `${each.event} ${each.subject} ${each.hosts.join(',')}`);
	expect(descriptions).toEqual(['upstream-doubted e1 host-1', 'upstream-doubted e2 host-2', 'domain-unreachable b host-2', 'upstream-trusted e1 host-1']);
});

it('lists evacuations by failure domain, with all hosts that learned of them', () => {
	const position = {source: 'store', era: 1, revision: 105};
	const lines = [
		line(0, 'host-1', {
			event: 'domain-evacuated', domain: 'b', upstreams: 4, ...position,
		}),
		line(900, 'host-2', {
			event: 'domain-evacuated', domain: 'b', upstreams: 4, ...position, source: 'host-1',
		}),
		line(9000, 'host-1', {event: 'domain-evacuation-ended', domain: 'b', ...position}),
	];
	const descriptions = summarise(parseLog(lines.join('\n'))).happenings.map(each => `${each.event} ${each.subject} ${each.hosts.join(',')}`);
	expect(descriptions).toEqual(['domain-evacuated b host-1,host-2', 'domain-evacuation-ended b host-1']);
});
