/** The configuration in force at this host, and what it is asking its peers for. */
import {Map as Table} from 'immutable';
import {type Configuration} from '../../types/configuration.js';

/** A document that a peer was asked for. */
export type DocumentRequest = {
	readonly host: string;
	readonly revision: number;
	/** Monotonic time in milliseconds. */
	readonly at: number;
};

export type ConfigurationState = {
	readonly inForce?: Configuration;
	/** SHA-256 of the document's text, and the text as it was received. */
	readonly digest: string;
	readonly text: string;
	/** The document asked for last, until it has come. */
	readonly documentRequest?: DocumentRequest;
	/** Monotonic time in milliseconds until which a peer whose document was not valid is not asked. */
	readonly refusedUntil: Table<string, number>;
	/** Peers that were seen with other content of the same revision, as `host/revision`. */
	readonly reportedMismatch?: string;
};

export const initialConfiguration: ConfigurationState = {digest: '', text: '', refusedUntil: Table()};
