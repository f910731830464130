import {Buffer} from 'node:buffer';
import {describe, expect, it} from 'vitest';
import {
	positionOf, signStream, signTicket, verifyPosition, verifyTicket,
} from '../token.js';
import {type Ticket, type TokenKey} from '../../core/index.js';

const old: TokenKey = {id: 'old', secret: '11'.repeat(32)};
const fresh: TokenKey = {id: 'fresh', secret: '22'.repeat(32)};
const ticket: Ticket = {
	keeper: {host: 'a1', started: 7},
	failureDomain: 'a',
	address: {host: '127.0.0.1', port: 8000},
	sequence: 3,
	organisation: 'paper',
	expires: 1000,
};
const stream = {
	service: 's', organisation: 'paper', upstream: 'e1', attempt: 'x.1', expires: 1000,
};

describe('tokens', () => {
	it('gives a ticket back until it expires', () => {
		const token = signTicket([old], ticket);
		expect(verifyTicket([old], token, 999)).toEqual({type: 'valid', value: ticket});
		expect(verifyTicket([old], token, 1000)).toEqual({type: 'expired'});
	});

	it('stays valid through each step of a key rotation', () => {
		const before = signTicket([old], ticket);
		const after = signTicket([fresh, old], ticket);
		for (const keys of [[old, fresh], [fresh, old]]) {
			expect(verifyTicket(keys, before, 0).type).toBe('valid');
			expect(verifyTicket(keys, after, 0).type).toBe('valid');
		}

		expect(verifyTicket([fresh], before, 0).type).toBe('bad');
	});

	it('refuses what was changed, cut or of another kind', () => {
		const token = signTicket([old], ticket);
		const forged = Buffer.from(JSON.stringify({...ticket, organisation: 'other'})).toString('base64url');
		for (const text of ['', 'x', token.slice(0, -2), `${forged}.${token.split('.')[1]}`, `${token}.x`, signStream([old], stream)]) {
			expect(verifyTicket([old], text, 0)).toEqual({type: 'bad'});
		}

		expect(verifyPosition([old], positionOf(token, 1), 0)).toEqual({type: 'bad'});
	});

	it('names a place in a stream', () => {
		const token = signStream([old], stream);
		expect(verifyPosition([old], positionOf(token, 41), 0)).toEqual({type: 'valid', value: {...stream, offset: 41}});
		expect(verifyPosition([old], `${token}:-1`, 0)).toEqual({type: 'bad'});
		expect(verifyPosition([old], token, 0)).toEqual({type: 'bad'});
		expect(verifyPosition([old], positionOf(token, 41), 1000)).toEqual({type: 'expired'});
	});
});
