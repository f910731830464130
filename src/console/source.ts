/** Reads the document in force from hosts or a file, and checks whether a draft still starts from it. */
import {readFile} from 'node:fs/promises';
import {fetchFromHosts, fetchConfiguration} from '../admin/client.js';
import {isFailure, raise, type Address} from '../core/index.js';
import {parseConfiguration, type ValidDocument} from '../protocol/configuration/index.js';

/** Timeout of one host. Every page of a draft waits for the hosts. */
const hostTimeoutMs = 1500;

export type Source
	= | {readonly type: 'hosts'; readonly addresses: readonly Address[]}
		| {readonly type: 'file'; readonly path: string}
	/** The operator pastes the document into the start page. */
		| {readonly type: 'none'};

/** Whether the base document of a draft is still in force. */
export type BaseStatus
	= | {readonly type: 'in-force'}
		| {readonly type: 'superseded'; readonly inForce: ValidDocument}
		| {readonly type: 'unknown'; readonly reason: string};

/**
 * @param source - Where to read from.
 * @returns Text of the document in force; if hosts differ, the one with the highest revision.
 * @throws Failure `unreachableHost`, `refusedByHost` or `unreadableFile`.
 */
export async function readInForce(source: Source): Promise<string> {
	switch (source.type) {
		case 'hosts': {
			return readFromHosts(source.addresses);
		}

		case 'file': {
			return readFromFile(source.path);
		}

		case 'none': {
			return raise('unreadableFile', 'The console was started without hosts and without a document file.');
		}
	}
}

/**
 * @param source - Where to read from.
 * @param base - Document that a draft starts from.
 * @returns Whether it is still in force; `unknown` if the document in force cannot be read.
 */
export async function checkBase(source: Source, base: ValidDocument): Promise<BaseStatus> {
	try {
		const parsed = parseConfiguration(await readInForce(source));
		if (parsed.type === 'invalid') {
			return {type: 'unknown', reason: 'The document in force is not valid for this version of the console.'};
		}

		return parsed.digest === base.digest ? {type: 'in-force'} : {type: 'superseded', inForce: parsed};
	} catch (error) {
		if (isFailure(error)) {
			return {type: 'unknown', reason: error.message};
		}

		throw error;
	}
}

async function readFromHosts(addresses: readonly Address[]): Promise<string> {
	const answers = await fetchFromHosts(addresses, async address => fetchConfiguration(address, hostTimeoutMs));
	const documents = answers.flatMap(answer => answer.type === 'answered' ? [answer.content] : []);
	const newest = documents.toSorted((first, second) => second.revision - first.revision)[0];
	if (newest !== undefined) {
		return newest.text;
	}

	const reasons = answers.flatMap(answer => answer.type === 'silent' ? [answer.failure.message] : []);
	return raise('unreachableHost', reasons.join(' '));
}

async function readFromFile(path: string): Promise<string> {
	try {
		return await readFile(path, 'utf8');
	} catch (error) {
		return raise('unreadableFile', error instanceof Error ? error.message : path);
	}
}
