// Layers of docs/ARCHITECTURE.md, innermost first. A layer may import only itself and the layers before it.
const layers = ['core', 'protocol', 'upstream', 'configuration-service', 'entry'];

function layersAbove(layer) {
	return layers.slice(layers.indexOf(layer) + 1).map(name => `**/${name}/**`);
}

const impure = [
	'node:*',
	'got',
	'restify',
	'hot-shots',
	'consola',
	'inversify',
	'cbor-x',
	'uuid',
];

const platformNames = [
	'x-(not-executed|response-signature|expect-instance|helpers|token-count|prefix-hash|tenant|deadline-ms)',
	'op.config',
	'servers.',
];

const platformNameRule = {
	selector: `Literal[value=/^(${platformNames.join('|')})/i]`,
	message: 'Names of the platform\'s interfaces may only be used in platform/.',
};

/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		ignores: ['dist/**', 'target/**', 'node_modules/**'],
	},
	{
		rules: {
			// Effects and events are plain data that other runtimes can use too; `undefined` marks an absent value throughout.
			'unicorn/no-null': 'off',
			// Restify requires two-argument handlers to be async, even if they await nothing.
			'@typescript-eslint/require-await': 'off',
			'require-await': 'off',
			// Collections of Immutable are created without `new`.
			'new-cap': ['error', {capIsNewExceptions: ['Table', 'List', 'Group']}],
			// Requests and frames must be handled in order.
			'no-await-in-loop': 'off',
			'import-x/no-unassigned-import': ['error', {allow: ['reflect-metadata']}],
			// The switch of a feature handles only the feature's own events; the default leaves the state unchanged.
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {
				allowDefaultCaseForExhaustiveSwitch: true,
				considerDefaultExhaustiveForUnions: true,
				requireDefaultForNonUnion: false,
			}],
			complexity: ['error', 24],
		},
	},
	{
		// Only the adapter in platform/ uses the platform's names.
		files: ['src/**/*.ts'],
		rules: {
			'no-restricted-syntax': [
				'error',
				platformNameRule,
			],
		},
	},
	{
		files: ['src/core/**/*.ts'],
		ignores: ['**/__tests__/**'],
		rules: {
			'no-restricted-imports': ['error', {
				patterns: [
					{group: impure, message: 'The core must stay pure: no clock, socket, logger or library with side effects.'},
					{group: layersAbove('core'), message: 'The core must not import the layers above it.'},
				],
			}],
			'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'setImmediate', 'performance', 'process', 'fetch', 'console', 'crypto'],
			'no-restricted-syntax': [
				'error',
				platformNameRule,
				{selector: 'MemberExpression[object.name="Date"][property.name="now"]', message: 'Pass the time to the core as an argument.'},
				{selector: 'NewExpression[callee.name="Date"]', message: 'Pass the time to the core as an argument.'},
				{selector: 'MemberExpression[object.name="Math"][property.name="random"]', message: 'Pass the random source to the core as an argument.'},
			],
		},
	},
	{
		files: ['src/protocol/byte-buffer.ts', 'src/protocol/event-splitter.ts'],
		rules: {
			// Streams and HTTP of Node.js use Buffer.
			'@typescript-eslint/no-restricted-types': 'off',
		},
	},
	{
		files: ['src/gateway/**/*.ts'],
		rules: {
			// Streams and HTTP of Node.js use Buffer.
			'@typescript-eslint/no-restricted-types': 'off',
			'no-restricted-imports': ['error', {
				patterns: [
					{group: ['**/platform/**'], message: 'The gateway may depend on the platform only through the interfaces of the adapter.'},
				],
			}],
		},
	},
	{
		// Field names of the protocols of callers, engines and the platform are not in camel case.
		files: ['platform/**/*.ts', 'src/upstream/**/*.ts', 'src/entry/callers/**/*.ts', 'stand-ins/**/*.ts', 'bench/**/*.ts', '**/__tests__/**/*.ts', 'src/cli/**/*.ts'],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	...['protocol', 'upstream', 'configuration-service'].map(layer => ({
		files: [`src/${layer}/**/*.ts`],
		rules: {
			'no-restricted-imports': ['error', {
				patterns: [
					{group: layersAbove(layer), message: 'A layer must not import a layer above it; see docs/ARCHITECTURE.md.'},
				],
			}],
		},
	})),
	...['admin', 'cli', 'console'].map(tool => ({
		files: [`src/${tool}/**/*.ts`],
		ignores: ['**/__tests__/**'],
		rules: {
			'no-restricted-imports': ['error', {
				patterns: [
					{group: ['**/entry/**', '**/configuration-service/**'], message: 'Operator tools may depend on hosts only through their protocol.'},
				],
			}],
		},
	})),
	{
		files: ['src/**/*.ts', 'stand-ins/**/*.ts'],
		ignores: ['**/__tests__/**'],
		rules: {
			'@typescript-eslint/no-restricted-imports': ['error', {
				paths: [
					{name: 'node:child_process', message: 'Product code must not start processes.'},
					{name: 'node:worker_threads', message: 'Product code runs on one event loop and one thread.'},
					{name: 'node:cluster', message: 'Product code runs on one event loop and one thread.'},
				],
			}],
		},
	},
];

export default config;
