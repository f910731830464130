/** Result codes for errors that end a daemon. */
import {codes, isFailure} from '../core/index.js';

function isSystemError(error: unknown): error is NodeJS.ErrnoException {
	return error instanceof Error && 'code' in error;
}

/**
 * @param error - The error that ended the daemon.
 * @returns The code of a failure, `portInUse` for a port in use, otherwise `internal`.
 */
export function getResultCode(error: unknown): number {
	if (isFailure(error)) {
		return error.code;
	}

	return isSystemError(error) && error.code === 'EADDRINUSE' ? codes.portInUse : codes.internal;
}
