/** State of the configuration: the document in force, and the pending request to a peer for a newer one. */
import {Map as Table} from 'immutable';
import {type Configuration} from '../../types/configuration.js';

/** A request to a peer for its document. */
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
	/** The latest request, until a document is adopted or the requested one turns out invalid. */
	readonly documentRequest?: DocumentRequest;
	/** Monotonic time in milliseconds until which no document is requested from a peer that sent an invalid one, by host. */
	readonly refusedUntil: Table<string, number>;
	/** Peer that was last reported with different content of the same revision, as `host/revision`. */
	readonly reportedMismatch?: string;
};

export const initialConfiguration: ConfigurationState = {digest: '', text: '', refusedUntil: Table()};
