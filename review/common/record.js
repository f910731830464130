/** Writes what a test sent, got and ran to the file `record.txt` in its folder. */
import {writeFileSync} from 'node:fs';
import path from 'node:path';

export class Record {
	#file;
	#lines = [];
	#startedAt = performance.now();

	/**
	 * @param directory - Folder of the test.
	 */
	constructor(directory) {
		this.#file = path.join(directory, 'record.txt');
	}

	/** Adds a line with the time since the start of the test in seconds. */
	add(text) {
		this.#lines.push(`${((performance.now() - this.#startedAt) / 1000).toFixed(3).padStart(8)} ${text}`);
		writeFileSync(this.#file, `${this.#lines.join('\n')}\n`);
	}
}
