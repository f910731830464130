/** Bundles the gateway and its start script: `node deploy/bundle.js DIRECTORY`. */
import {rmSync} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';

const directory = process.argv[2] ?? 'target';

/** Leaves out the validation messages of zod in forty languages, which are half of the library; English is part of its core. */
const noLocales = {
	name: 'no-locales',
	setup(bundle) {
		// The bundler is written in Go, whose regular expressions have no v flag.
		// eslint-disable-next-line require-unicode-regexp
		bundle.onLoad({filter: /zod.v4.locales.index\.js$/}, () => ({contents: 'export {};'}));
	},
};

const common = {
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	minifySyntax: true,
	legalComments: 'none',
	logLevel: 'warning',
	plugins: [noLocales],
};

// Code compiled from an earlier program does not match this one.
rmSync(`${directory}/program.bin`, {force: true});
await build({...common, entryPoints: ['platform/gateway.ts'], outfile: `${directory}/program.cjs`});
await build({...common, entryPoints: ['deploy/start.js'], outfile: `${directory}/gateway.cjs`});
