/** Bundles the gateway into one file: `node deploy/bundle.js DIRECTORY`. */
import process from 'node:process';
import {build} from 'esbuild';

await build({
	entryPoints: ['platform/main.ts'],
	outfile: `${process.argv[2] ?? 'target'}/gateway.js`,
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	// Libraries in CommonJS call `require` for Node's own modules.
	banner: {js: 'import {createRequire as makeRequire} from "node:module"; const require = makeRequire(import.meta.url);'},
	minifySyntax: true,
	legalComments: 'none',
	logLevel: 'warning',
});
