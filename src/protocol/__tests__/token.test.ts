import {Buffer} from 'node:buffer';
import {describe, expect, it} from 'vitest';
import {
	formatPosition, signStream, signTicket, verifyPosition, verifyTicket,
} from '../token.js';
import {type Ticket, type TokenKey} from '../../core/index.js';

const oldKey: TokenKey = {id: 'old', secret: '11'.repeat(32)};
const newKey: TokenKey = {id: 'fresh', secret: '22'.repeat(32)};
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
	it('returns a ticket until it expires', () => {
		const token = signTicket([oldKey], ticket);
		expect(verifyTicket([oldKey], token, 999)).toEqual({type: 'valid', value: ticket});
		expect(verifyTicket([oldKey], token, 1000)).toEqual({type: 'expired'});
	});

	it('keeps tickets valid during each step of a key rotation', () => {
		const before = signTicket([oldKey], ticket);
		const after = signTicket([newKey, oldKey], ticket);
		for (const keys of [[oldKey, newKey], [newKey, oldKey]]) {
			expect(verifyTicket(keys, before, 0).type).toBe('valid');
			expect(verifyTicket(keys, after, 0).type).toBe('valid');
		}

		expect(verifyTicket([newKey], before, 0).type).toBe('bad');
	});

	it('refuses tokens that were changed, truncated or are of another kind', () => {
		const token = signTicket([oldKey], ticket);
		const forged = Buffer.from(JSON.stringify({...ticket, organisation: 'other'})).toString('base64url');
		for (const text of ['', 'x', token.slice(0, -2), `${forged}.${token.split('.')[1]}`, `${token}.x`, signStream([oldKey], stream)]) {
			expect(verifyTicket([oldKey], text, 0)).toEqual({type: 'bad'});
		}

		expect(verifyPosition([oldKey], formatPosition(token, 1), 0)).toEqual({type: 'bad'});
	});

	it('returns a stream position until it expires', () => {
		const token = signStream([oldKey], stream);
		expect(verifyPosition([oldKey], formatPosition(token, 41), 0)).toEqual({type: 'valid', value: {...stream, offset: 41}});
		expect(verifyPosition([oldKey], `${token}:-1`, 0)).toEqual({type: 'bad'});
		expect(verifyPosition([oldKey], token, 0)).toEqual({type: 'bad'});
		expect(verifyPosition([oldKey], formatPosition(token, 41), 1000)).toEqual({type: 'expired'});
	});
});
