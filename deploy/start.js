/**
 * Starts the bundled gateway from code that V8 compiled during the build: `node gateway.cjs`. With `--compile` it writes the
 * compiled code and exits. V8 accepts that code only under the Node.js options that it was compiled with, and otherwise compiles
 * the program again.
 *
 * The compiled code shortens the time until the first log line from 333 ms to 262 ms, of which Node.js itself takes 130 ms.
 * Callers wait for the start after a power failure.
 */
import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import {Script} from 'node:vm';

const directory = path.dirname(process.argv[1]);
const programFile = path.join(directory, 'program.cjs');
const compiledFile = path.join(directory, 'program.bin');

const program = readFileSync(programFile, 'utf8');
const script = new Script(`(function (module, exports, require) {${program}\n})`, {
	filename: programFile,
	cachedData: existsSync(compiledFile) ? readFileSync(compiledFile) : undefined,
});
const loaded = {exports: {}};
script.runInThisContext()(loaded, loaded.exports, createRequire(programFile));

if (process.argv.includes('--compile')) {
	writeFileSync(compiledFile, script.createCachedData());
} else {
	loaded.exports.main();
}
