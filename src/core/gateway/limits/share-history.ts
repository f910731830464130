/** What a host sends to one that has started about the use of a service by organisations. Times are relative to the moment of sending. */

/** Largest number of organisations of a service that are named, those with the most use first. */
export const maxNamedOrganisations = 256;

/** Use by one organisation; the sums are those of `OrganisationUse`. */
export type NamedUse = {
	/** Tag of the organisation. */
	readonly organisation: string;
	/** Milliseconds since its sums were decayed last. */
	readonly age: number;
	readonly present: number;
	readonly usual: number;
	readonly squares: number;
	readonly covered: number;
	readonly overall: number;
	readonly assumed: number;
	/** Milliseconds for which it is still held to its usual use, by the ranks that its priority moves it, from -2 to 2. */
	readonly restricted?: readonly number[];
};

/** Use of one service. */
export type ShareHistory = {
	/** Milliseconds for which the sender has observed it. */
	readonly history: number;
	/** Milliseconds for which upstreams still count as full. */
	readonly full: number;
	/** Sums of all organisations, also of those that aren't named. */
	readonly present: number;
	readonly usual: number;
	readonly squares: number;
	/** Number of organisations that aren't named. */
	readonly unnamed: number;
	readonly organisations: readonly NamedUse[];
};
