/** Tags of organisations in jobs: hosts of other builds and invalid tags must not cost any other part of a message. */
import {expect, it} from 'vitest';
import {createUpstream} from '../../core/gateway/__tests__/fixtures.js';
import {type Demand, type GatewayConfiguration, type Route} from '../../core/gateway/types.js';
import {ignore} from '../../entry/ignore.js';
import {type LogLine} from '../../entry/logs.js';
import {OrganisationShares} from '../organisations/organisation-shares.js';
import {fromWireJob, toWireJob} from '../peers/load-messages.js';
import {
	createMessageReader, encode, type LoadUpdate, type Message,
} from '../peers/messages.js';
import {createJob} from './jobs.js';

const job = createJob();

const route: Route = {
	name: 'r', authority: 'x', prefix: '/', kind: 'idempotent', timeout: 1, objective: 1, priority: 0, targets: [], attempts: 1, isPublic: false, isResumable: false,
};

const configuration: GatewayConfiguration = {
	version: 1, routes: [route], services: [], organisations: [{name: 'acme', keys: []}], limits: {
		headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1,
	},
};

function createShares(lines: LogLine[] = []): OrganisationShares {
	return new OrganisationShares({
		log: {
			write(line) {
				lines.push(line);
			},
		},
		now: () => 0, findUpstream: id => createUpstream(id), countRequests: () => 0,
	});
}

function sendOver(jobs: ReadonlyArray<LoadUpdate['began'][number]>): readonly Message[] {
	return createMessageReader().push(encode({
		type: 'load', began: [...jobs], progressed: [], ended: [],
	}));
}

it('keeps a valid tag, and ignores an invalid one without losing the job', () => {
	const tags = ['abcdef', undefined, 7, '', 'x'.repeat(17)];
	const [message] = sendOver(tags.map(organisation => ({...toWireJob(job, 'a', 0), organisation})));
	expect(message?.type).toBe('load');
	const jobs = message?.type === 'load' ? message.began.map(each => fromWireJob(each, 'a', 0)) : [];
	expect(jobs.map(each => each.organisation)).toEqual(['abcdef', undefined, undefined, undefined, undefined]);
});

it('accepts fields of a job that it does not know, as older hosts do', () => {
	const later = {...toWireJob(job, 'a', 0), later: 1};
	const [message] = sendOver([later]);
	expect(message).toMatchObject({type: 'load', began: [{id: 'a.1'}]});
});

it('tags requests only if the configuration has organisations, and those without one by their route', () => {
	const shares = createShares();
	expect(shares.findTag({...configuration, organisations: undefined}, route, undefined)).toBeUndefined();
	expect(shares.findTag(configuration, route, 'acme')).toMatch(/^[\w\-]{6}$/v);
	expect(shares.findTag(configuration, route, '')).toBe(shares.findTag(configuration, route, undefined));
	expect(shares.findTag(configuration, route, 'r')).not.toBe(shares.findTag(configuration, route, undefined));
});

it('counts only jobs with a tag that have just begun, and logs invalid tags once a minute', () => {
	const lines: LogLine[] = [];
	const shares = createShares(lines);
	shares.countJob(job);
	shares.countJob({...job, organisation: 'old', began: -2001});
	expect(shares.size).toBe(0);
	shares.countJob({...job, organisation: 'new', isDelayed: true});
	expect([shares.size, shares.pressedCount]).toEqual([1, 1]);
	shares.reportInvalidTag('b');
	shares.reportInvalidTag('b');
	expect(lines).toEqual([{event: 'organisation-tag-invalid', peer: 'b'}]);
});

// Guards against use that counts less, or more, where a relay reports jobs in sums.
it('finds the same excess from sums as from the jobs one by one', () => {
	let now = 0;
	const [bySums, byJobs] = [0, 1].map(() => new OrganisationShares({
		log: {write: ignore}, now: () => now, findUpstream: id => createUpstream(id), countRequests: () => 0,
	}));
	const {service} = createUpstream('u');
	for (let second = 0; second < 40; second++) {
		for (const organisation of ['usual', 'large']) {
			now = second * 1000;
			const count = organisation === 'large' && second >= 35 ? 50 : 5;
			bySums!.countSum({
				service, organisation, count, delayed: second >= 35 ? 1 : 0, weight: count * 2, requests: 0,
			});
			for (let index = 0; index < count; index++) {
				byJobs!.countJob({
					...job, organisation, weight: 2, began: now, isDelayed: second >= 35 && index === 0 ? true : undefined,
				});
			}
		}
	}

	const demand: Demand = {
		id: 'd', service, arrived: now, due: now, deadline: now, priority: 0, kind: 'idempotent',
	};
	const [expected, excess] = [byJobs, bySums].map(shares => shares!.findExcess('large', demand, undefined));
	expect(expected?.use).toBeGreaterThan(0);
	expect(excess).toEqual(expected);
	expect(bySums!.findExcess('usual', demand, undefined)).toBeUndefined();
});
