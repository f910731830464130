/** Retries that services have saved up. */
import {Map as Table} from 'immutable';

export type RetriesState = {
	/** Retries left by service; a service that is absent has all of its burst. */
	readonly budgets: Table<string, number>;
};

export const initialRetries: RetriesState = {budgets: Table()};
