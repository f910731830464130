/** Maps result codes to exit codes, which have to fit into one byte. */
import {codes} from '../core/index.js';

const codesPerClass = 1000;
const exitCodeStep = 10;

/** Same as the exit code of the `diff` tool for files that differ. */
const differsExitCode = 1;

/**
 * Returns the class of the result code times ten: 10 for 1006, 40 for 4001. `done` gives 0, documents that differ give 1.
 *
 * @param code - Result code.
 * @returns The exit code.
 */
export function toExitCode(code: number): number {
	return code === codes.differs ? differsExitCode : Math.floor(code / codesPerClass) * exitCodeStep;
}
