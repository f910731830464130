/** Services that the program passes to each command when adding it. */
import {type Terminal} from './terminal.js';

/** Wraps the action of a command so that the program receives its result code. */
export type WrapAction = <Parameters extends readonly unknown[]>(
	action: (...parameters: Parameters) => Promise<number>,
) => (...parameters: Parameters) => Promise<void>;

export type CommandServices = {
	readonly terminal: Terminal;
	readonly wrapAction: WrapAction;
	/** Parses the value of an option; rejects anything but digits. */
	readonly parseWholeNumber: (text: string) => number;
};
