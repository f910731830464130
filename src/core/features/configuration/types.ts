/** The configuration in force at this host. */
import {type Configuration} from '../../types/configuration.js';

export type ConfigurationState = {
	readonly inForce?: Configuration;
	/** SHA-256 of the document's text, and the text as it was received. */
	readonly digest: string;
	readonly text: string;
};

export const initialConfiguration: ConfigurationState = {digest: '', text: ''};
