/** Differences between two configuration documents. */
import {type Takeover} from '../../core/index.js';

/** Kinds of entries that have an id. */
export type EntryKind = 'failure domain' | 'service' | 'organisation' | 'upstream' | 'planned stop' | 'token key';

export type FieldValue = string | number | boolean;

export type Change
	= | {readonly type: 'added'; readonly entry: EntryKind; readonly id: string}
		| {readonly type: 'removed'; readonly entry: EntryKind; readonly id: string}
	/** A field of an entry; `before` or `after` is absent if the field is not set in that document. */
		| {readonly type: 'field-changed'; readonly entry: EntryKind; readonly id: string; readonly field: string; readonly before?: FieldValue; readonly after?: FieldValue}
	/** A field of the document itself. */
		| {readonly type: 'document-changed'; readonly field: string; readonly before?: FieldValue; readonly after?: FieldValue}
	/** A list of an entry, compared regardless of order. */
		| {readonly type: 'list-changed'; readonly entry: EntryKind; readonly id: string; readonly field: string; readonly added: readonly string[]; readonly removed: readonly string[]}
	/** The secret of a token key; its value is never shown. */
		| {readonly type: 'secret-changed'; readonly id: string}
	/** The token key that signs. */
		| {readonly type: 'signing-key-changed'; readonly before: string; readonly after: string}
		| {
			readonly type: 'takeover-changed';
			readonly scope: Omit<Takeover, 'servedBy'>;
			readonly before?: Takeover['servedBy'];
			readonly after?: Takeover['servedBy'];
		};
