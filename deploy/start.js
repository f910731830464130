/**
 * Starts the bundled gateway from code that V8 compiled at the build: `node gateway.cjs`. With `--compile` it compiles that code
 * and ends; V8 takes it only under the options of Node.js it was compiled with, and compiles anew otherwise.
 *
 * From the start to the first line of the log 262 ms pass in place of 333 ms (medians of three beside other work, of which a bare
 * Node.js takes 130 ms): after a loss of power callers wait for that.
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
