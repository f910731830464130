/** Where the document in force is read from. */
import {readFile} from 'node:fs/promises';
import {askAll, fetchInForce} from '../admin/client.js';
import {isFailure, raise, type Address} from '../core/index.js';
import {parseConfiguration, type Valid} from '../protocol/configuration/index.js';

/** Milliseconds that a page waits for a host. */
const patience = 1500;

export type Source
	= | {readonly type: 'hosts'; readonly addresses: readonly Address[]}
		| {readonly type: 'file'; readonly path: string}
	/** The operator brings the document. */
		| {readonly type: 'none'};

/** Whether a draft's base is still in force. */
export type Standing
	= | {readonly type: 'in-force'}
		| {readonly type: 'superseded'; readonly inForce: Valid}
		| {readonly type: 'unknown'; readonly reason: string};

/**
 * @param source - Source.
 * @returns Text of the document in force; of several hosts' the one with the highest revision.
 * @throws Failure `unreachableHost`, `refusedByHost` or `unreadableFile`.
 */
export async function readInForce(source: Source): Promise<string> {
	switch (source.type) {
		case 'hosts': {
			return readHosts(source.addresses);
		}

		case 'file': {
			return readDocument(source.path);
		}

		case 'none': {
			return raise('unreadableFile', 'The console was started without hosts and without a document.');
		}
	}
}

/**
 * @param source - Source.
 * @param base - The document that a draft starts from.
 * @returns Whether it is still in force.
 */
export async function standingOf(source: Source, base: Valid): Promise<Standing> {
	try {
		const parsed = parseConfiguration(await readInForce(source));
		if (parsed.type === 'invalid') {
			return {type: 'unknown', reason: 'The document in force cannot be read by this version.'};
		}

		return parsed.digest === base.digest ? {type: 'in-force'} : {type: 'superseded', inForce: parsed};
	} catch (error) {
		if (isFailure(error)) {
			return {type: 'unknown', reason: error.message};
		}

		throw error;
	}
}

async function readHosts(addresses: readonly Address[]): Promise<string> {
	const answers = await askAll(addresses, async address => fetchInForce(address, patience));
	const documents = answers.flatMap(answer => answer.type === 'answered' ? [answer.content] : []);
	const newest = documents.toSorted((first, second) => second.revision - first.revision)[0];
	if (newest !== undefined) {
		return newest.text;
	}

	const reasons = answers.flatMap(answer => answer.type === 'silent' ? [answer.failure.message] : []);
	return raise('unreachableHost', reasons.join(' '));
}

async function readDocument(path: string): Promise<string> {
	try {
		return await readFile(path, 'utf8');
	} catch (error) {
		return raise('unreadableFile', error instanceof Error ? error.message : path);
	}
}
