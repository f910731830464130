/** How a command joins the program. */
import {type Terminal} from './terminal.js';

/** Turns an action with a result code into one for the program. */
export type Act = <Parameters extends readonly unknown[]>(
	action: (...parameters: Parameters) => Promise<number>,
) => (...parameters: Parameters) => Promise<void>;

export type Registration = {
	readonly terminal: Terminal;
	readonly act: Act;
	/** Reads the value of an option. */
	readonly wholeNumber: (text: string) => number;
};
