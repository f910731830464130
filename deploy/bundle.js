/** Bundles the gateway and what starts it: `node deploy/bundle.js DIRECTORY`. */
import {rmSync} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';

const directory = process.argv[2] ?? 'target';

/** Texts of validation errors in forty languages are half of the library; English is part of its core. */
const noLocales = {
	name: 'no-locales',
	setup(bundle) {
		// The bundler is written in Go, which knows no v flag.
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

// What was compiled of an earlier program does not fit this one.
rmSync(`${directory}/program.bin`, {force: true});
await build({...common, entryPoints: ['platform/gateway.ts'], outfile: `${directory}/program.cjs`});
await build({...common, entryPoints: ['deploy/start.js'], outfile: `${directory}/gateway.cjs`});
