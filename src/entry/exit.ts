/** Result codes of daemons that end by an error. */
import {codes, isFailure} from '../core/index.js';

function isSystemError(error: unknown): error is NodeJS.ErrnoException {
	return error instanceof Error && 'code' in error;
}

/**
 * @param error - What ended the daemon.
 * @returns Its result code.
 */
export function codeOf(error: unknown): number {
	if (isFailure(error)) {
		return error.code;
	}

	return isSystemError(error) && error.code === 'EADDRINUSE' ? codes.portInUse : codes.internal;
}
