/** Retry budgets of services. */
import {Map as Table} from 'immutable';

export type RetriesState = {
	/** Retries left, by service; a service that is absent has its full burst. */
	readonly budgets: Table<string, number>;
};

export const initialRetries: RetriesState = {budgets: Table()};
