/** Authentication with shared keys, also with wrong, rotated, replayed and reflected proofs. */
import {randomBytes} from 'node:crypto';
import {describe, expect, it} from 'vitest';
import {Authentication, maxHandshakeMessageBytes, type AuthenticationStep} from '../authentication.js';
import {encode, type Message} from '../messages.js';

const [oldKey, newKey, otherKey] = ['the old key of the fleet', 'the new key of the fleet', 'the key of another fleet'] as const;

function createEnd(keys: readonly string[], isDialled: boolean): Authentication {
	return new Authentication(keys, isDialled, bytes => randomBytes(bytes));
}

function replyOf(step: AuthenticationStep): Message {
	if (step.type === 'failed' || step.reply === undefined) {
		throw new Error(`no reply, but ${step.type}`);
	}

	return step.reply;
}

/** Lets two hosts authenticate each other; returns how it ends at the listening and at the dialling one. */
function authenticate(dialler: Authentication, listener: Authentication): readonly string[] {
	const proof = replyOf(dialler.handle(listener.challenge));
	listener.handle(dialler.challenge);
	const verified = listener.handle(proof);
	return verified.type === 'failed' ? [verified.type] : [verified.type, dialler.handle(replyOf(verified)).type];
}

describe('two hosts', () => {
	it.each([
		['with the same key', [oldKey], [oldKey], ['done', 'done']],
		['of which one has the next key as well', [oldKey], [newKey, oldKey], ['done', 'done']],
		['of which one has the previous key as well', [oldKey, newKey], [newKey], ['done', 'done']],
		['with different keys', [oldKey], [otherKey], ['failed']],
		['after and before a whole rotation', [newKey], [oldKey], ['failed']],
	] as const)('%s', (_, first, second, expected) => {
		expect(authenticate(createEnd(first, true), createEnd(second, false))).toEqual(expected);
	});
});

it('refuses a proof that was recorded in an earlier handshake', () => {
	const dialler = createEnd([oldKey], true);
	const recorded = [dialler.challenge, replyOf(dialler.handle(createEnd([oldKey], false).challenge))] as const;
	const listener = createEnd([oldKey], false);
	listener.handle(recorded[0]);
	expect(listener.handle(recorded[1]).type).toBe('failed');
});

it('refuses its own challenge and proof sent back to it', () => {
	const dialler = createEnd([oldKey], true);
	const proof = replyOf(dialler.handle(dialler.challenge));
	expect(dialler.handle(proof).type).toBe('failed');
});

it('discloses no proof to a host that has dialled without a key', () => {
	const listener = createEnd([oldKey], false);
	expect(listener.handle({type: 'challenge', nonce: randomBytes(16)})).toEqual({type: 'pending'});
	expect(listener.handle({type: 'proof', proofs: [randomBytes(16)]}).type).toBe('failed');
});

it.each<Message>([
	{type: 'proof', proofs: [randomBytes(16)]},
	{type: 'release'},
	{type: 'hosts-lost', hosts: ['a']},
	{type: 'foreign', code: 8005},
])('fails on $type before a challenge', message => {
	expect(createEnd([oldKey], true).handle(message).type).toBe('failed');
});

it('sends only messages that the peer reads before it is authenticated', () => {
	const dialler = createEnd([oldKey, newKey], true);
	const messages = [dialler.challenge, replyOf(dialler.handle(createEnd([oldKey], false).challenge))];
	expect(Math.max(...messages.map(message => encode(message).length))).toBeLessThanOrEqual(maxHandshakeMessageBytes);
});
