/** What can differ between two documents. */
import {type Takeover} from '../../core/index.js';

/** Entries of a document that have a name. */
export type Entry = 'failure domain' | 'service' | 'organisation' | 'upstream' | 'planned stop' | 'token key';

export type Value = string | number | boolean;

export type Change
	= | {readonly type: 'added'; readonly entry: Entry; readonly id: string}
		| {readonly type: 'removed'; readonly entry: Entry; readonly id: string}
	/** A field of one entry; absent where the field was or is left out. */
		| {readonly type: 'field-changed'; readonly entry: Entry; readonly id: string; readonly field: string; readonly before?: Value; readonly after?: Value}
	/** A field of the document itself. */
		| {readonly type: 'document-changed'; readonly field: string; readonly before?: Value; readonly after?: Value}
	/** A list of one entry in which the order does not matter. */
		| {readonly type: 'list-changed'; readonly entry: Entry; readonly id: string; readonly field: string; readonly added: readonly string[]; readonly removed: readonly string[]}
	/** A key's secret; never shown. */
		| {readonly type: 'secret-changed'; readonly id: string}
	/** The key that signs. */
		| {readonly type: 'signing-key-changed'; readonly before: string; readonly after: string}
		| {
			readonly type: 'takeover-changed';
			readonly scope: Omit<Takeover, 'servedBy'>;
			readonly before?: Takeover['servedBy'];
			readonly after?: Takeover['servedBy'];
		};
