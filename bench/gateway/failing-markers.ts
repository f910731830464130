/** What marks responses whose writing fails in a process that has loaded `failing-writes`. */

/** Header of a response whose head can't be written. */
export const failingHead = 'X-Fail-Head';

/** Part of bytes that can't be written. */
export const failingBytes = 'fail-write';
