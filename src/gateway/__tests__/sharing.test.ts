/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- Only what an answer to a peer reaches stands in for the rest. */
import {expect, it} from 'vitest';
import {Clock} from '../../entry/clock.js';
import {type Gateway} from '../gateway.js';
import {messageReader, type Message} from '../peers/messages.js';
import {Sharing} from '../sharing.js';

function scene() {
	const told: Message[] = [];
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
		registrations: {revision: 3, newsFor: () => ({revision: 3, changed: 3})},
		peers: {
			sendFrame(_: string, frame: Uint8Array) {
				told.push(...messageReader().push(frame));
			},
			send(_: string, message: Message) {
				told.push(message);
			},
		},
	} as unknown as Gateway;
	return {told, configuration, sharing: new Sharing(gateway, {self: 'h0', failureDomain: 'a', clock: new Clock()})};
}

const wanted = {
	type: 'state-wanted', ask: 1, version: 4, revision: 3,
} as const;

it('a peer that asks again while the configuration is on its way is not told of it twice', () => {
	const {told, configuration, sharing} = scene();
	sharing.answer('h1', wanted);
	sharing.answer('h1', {...wanted, ask: 2});
	expect(told.map(message => message.type)).toEqual(['configuration', 'state', 'state']);
	expect(told[0]).toEqual({type: 'configuration', configuration});
});

it('a peer that is linked anew is told again, and one that has it is not', () => {
	const {told, sharing} = scene();
	sharing.answer('h1', wanted);
	sharing.joined('h1');
	sharing.answer('h1', wanted);
	sharing.answer('h2', {...wanted, version: 5});
	expect(told.map(message => message.type)).toEqual(['configuration', 'state', 'configuration', 'state', 'state']);
});

it('another version is told at once', () => {
	const {told, configuration, sharing} = scene();
	sharing.answer('h1', wanted);
	Object.assign(configuration, {version: 6});
	sharing.answer('h1', wanted);
	expect(told.filter(message => message.type === 'configuration').map(({configuration: {version}}) => version)).toEqual([5, 6]);
});
