/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- The fake gateway has only what answering a peer needs. */
import {expect, it} from 'vitest';
import {Clock} from '../../entry/clock.js';
import {type Gateway} from '../gateway.js';
import {createMessageReader, type Message} from '../peers/messages.js';
import {StateSync} from '../sharing/state-sync.js';

function setUp() {
	const sent: Message[] = [];
	const configuration = {
		version: 5,
		routes: [],
		services: [],
		limits: {
			headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1,
		},
	};
	const gateway = {
		directory: {configuration},
		confirmedAge: 10,
		registrations: {position: {era: 1, revision: 3}, createUpdate: () => ({era: 1, revision: 3, changed: 3})},
		peers: {
			sendFrame(_: string, frame: Uint8Array) {
				sent.push(...createMessageReader().push(frame));
			},
			send(_: string, message: Message) {
				sent.push(message);
			},
		},
	} as unknown as Gateway;
	return {sent, configuration, sharing: new StateSync(gateway, {self: 'h0', failureDomain: 'a', clock: new Clock()})};
}

const stateRequest = {
	type: 'state-wanted', ask: 1, version: 4, revision: 3,
} as const;

it('a peer that repeats its request while the configuration is being sent does not get it twice', () => {
	const {sent, configuration, sharing} = setUp();
	sharing.handleRequest('h1', stateRequest);
	sharing.handleRequest('h1', {...stateRequest, ask: 2});
	expect(sent.map(message => message.type)).toEqual(['configuration', 'state', 'state']);
	expect(sent[0]).toEqual({type: 'configuration', configuration});
});

it('a peer gets the configuration again over a new link, and not if it has it already', () => {
	const {sent, sharing} = setUp();
	sharing.handleRequest('h1', stateRequest);
	sharing.handlePeerJoined('h1');
	sharing.handleRequest('h1', stateRequest);
	sharing.handleRequest('h2', {...stateRequest, version: 5});
	expect(sent.map(message => message.type)).toEqual(['configuration', 'state', 'configuration', 'state', 'state']);
});

it('a new version is sent at once', () => {
	const {sent, configuration, sharing} = setUp();
	sharing.handleRequest('h1', stateRequest);
	Object.assign(configuration, {version: 6});
	sharing.handleRequest('h1', stateRequest);
	expect(sent.filter(message => message.type === 'configuration').map(({configuration: {version}}) => version)).toEqual([5, 6]);
});
