/** Exit codes, which are one byte, from result codes. */
import {codes} from '../core/index.js';

const classSize = 1000;
const exitStep = 10;

/** As of `diff`. */
const differsExit = 1;

/**
 * The class of the result code times ten: 1006 exits with 10, 4001 with 40. Done exits with 0, documents that differ with 1.
 *
 * @param code - Result code.
 * @returns The exit code.
 */
export function exitCode(code: number): number {
	return code === codes.differs ? differsExit : Math.floor(code / classSize) * exitStep;
}
