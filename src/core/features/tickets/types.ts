/** Rights to run non-idempotent requests that this host keeps. */
export type TicketsState = {
	readonly nextSequence: number;
};

export const initialTickets: TicketsState = {nextSequence: 1};
