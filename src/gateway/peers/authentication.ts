/**
 * Mutual authentication of two hosts with shared keys, before any other message is read or sent. Each sends a challenge. The host that
 * dialled proves its knowledge first, so that a listening host discloses nothing to a foreign one.
 */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {type Message} from './messages.js';

/** Bytes of a challenge, and of a proof: a truncated HMAC-SHA-256. */
const challengeBytes = 16;
const proofBytes = 16;

/** Separates these HMACs from any other use of the same key. */
const context = 'cranberrytide peer handshake 1';

/** Largest message that is read before the peer is authenticated. */
export const maxHandshakeMessageBytes = 128;

export type AuthenticationStep
	/** The handshake goes on after the reply, if there is one. */
	= | {readonly type: 'pending'; readonly reply?: Message}
	/** The peer is authenticated; the reply, if there is one, precedes all other messages. */
		| {readonly type: 'done'; readonly reply?: Message}
		| {readonly type: 'failed'; readonly reason: string};

export class Authentication {
	readonly #keys: readonly string[];
	readonly #isDialled: boolean;
	readonly #ownNonce: Uint8Array;
	#peerNonce: Uint8Array | undefined;

	/**
	 * @param keys - Valid keys; a peer needs to know one of them.
	 * @param isDialled - Whether this host opened the connection.
	 * @param createNonce - Returns as many unpredictable bytes as are requested.
	 */
	constructor(keys: readonly string[], isDialled: boolean, createNonce: (bytes: number) => Uint8Array) {
		this.#keys = keys;
		this.#isDialled = isDialled;
		this.#ownNonce = createNonce(challengeBytes);
	}

	/** First message of this host. */
	get challenge(): Message {
		return {type: 'challenge', nonce: this.#ownNonce};
	}

	/**
	 * @param message - Next message of the peer.
	 * @returns What follows from it.
	 */
	handle(message: Message): AuthenticationStep {
		if (message.type === 'challenge' && this.#peerNonce === undefined) {
			this.#peerNonce = message.nonce;
			return this.#isDialled ? {type: 'pending', reply: this.#createProof()} : {type: 'pending'};
		}

		if (message.type === 'proof' && this.#peerNonce !== undefined) {
			return this.#verify(message.proofs);
		}

		return {type: 'failed', reason: message.type === 'foreign' ? 'refused by the peer' : `no proof, but ${message.type}`};
	}

	#createProof(): Message {
		return {type: 'proof', proofs: this.#keys.map(key => this.#sign(key, this.#isDialled))};
	}

	#verify(proofs: readonly Uint8Array[]): AuthenticationStep {
		const expected = this.#keys.map(key => this.#sign(key, !this.#isDialled));
		if (!expected.some(each => proofs.some(proof => timingSafeEqual(each, proof)))) {
			return {type: 'failed', reason: 'no valid key'};
		}

		return this.#isDialled ? {type: 'done'} : {type: 'done', reply: this.#createProof()};
	}

	/** Signs both challenges and the role of the signer, so that neither a replayed nor a reflected proof is valid. */
	#sign(key: string, isDialler: boolean): Uint8Array {
		const peerNonce = this.#peerNonce!;
		const [dialled, accepted] = this.#isDialled ? [this.#ownNonce, peerNonce] : [peerNonce, this.#ownNonce];
		const digest = createHmac('sha256', key).update(`${context} ${isDialler ? 'dialler' : 'listener'} `).update(dialled).update(accepted).digest();
		return Buffer.from(digest.subarray(0, proofBytes));
	}
}
