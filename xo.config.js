// The one-way imports of docs/ARCHITECTURE.md, inner layer first: a layer may import only itself and those before it.
const layers = ['core', 'protocol', 'upstream', 'configuration-service', 'entry'];

function above(layer) {
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

const platformNamed = {
	selector: `Literal[value=/^(${platformNames.join('|')})/i]`,
	message: 'The platform\'s names stay in platform/.',
};

/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		ignores: ['dist/**', 'target/**', 'node_modules/**'],
	},
	{
		rules: {
			// Effects and events are data for other runtimes too; `undefined` marks an absent value throughout.
			'unicorn/no-null': 'off',
			// Restify requires async two-argument handlers even where nothing is awaited.
			'@typescript-eslint/require-await': 'off',
			'require-await': 'off',
			// Immutable's collections are called without `new`.
			'new-cap': ['error', {capIsNewExceptions: ['Table', 'List', 'Group']}],
			// Requests and frames are handled in order on purpose.
			'no-await-in-loop': 'off',
			'import-x/no-unassigned-import': ['error', {allow: ['reflect-metadata']}],
			// A feature's switch names its own events; the default leaves the state as it is.
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {
				allowDefaultCaseForExhaustiveSwitch: true,
				considerDefaultExhaustiveForUnions: true,
				requireDefaultForNonUnion: false,
			}],
			complexity: ['error', 24],
		},
	},
	{
		// Only the adapter speaks the platform's names.
		files: ['src/**/*.ts'],
		rules: {
			'no-restricted-syntax': [
				'error',
				platformNamed,
			],
		},
	},
	{
		files: ['src/core/**/*.ts'],
		ignores: ['**/__tests__/**'],
		rules: {
			'no-restricted-imports': ['error', {
				patterns: [
					{group: impure, message: 'The core is pure: no clock, socket, logger or library with effects.'},
					{group: above('core'), message: 'The core imports nothing above it.'},
				],
			}],
			'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'setImmediate', 'performance', 'process', 'fetch', 'console', 'crypto'],
			'no-restricted-syntax': [
				'error',
				platformNamed,
				{selector: 'MemberExpression[object.name="Date"][property.name="now"]', message: 'Time is given to the core.'},
				{selector: 'NewExpression[callee.name="Date"]', message: 'Time is given to the core.'},
				{selector: 'MemberExpression[object.name="Math"][property.name="random"]', message: 'The random source is given to the core.'},
			],
		},
	},
	{
		files: ['src/gateway/**/*.ts'],
		rules: {
			// Node's streams and HTTP give and take Buffer.
			'@typescript-eslint/no-restricted-types': 'off',
			'no-restricted-imports': ['error', {
				patterns: [
					{group: ['**/platform/**'], message: 'The gateway knows the platform by its adapter\'s interfaces only.'},
				],
			}],
		},
	},
	{
		// Field names of the callers' and engines' usual protocol, and of the platform.
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
					{group: above(layer), message: 'Imports run one way; see docs/ARCHITECTURE.md.'},
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
					{group: ['**/entry/**', '**/configuration-service/**'], message: 'Operators\' tools know hosts by their protocol only.'},
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
					{name: 'node:child_process', message: 'Product code starts no process.'},
					{name: 'node:worker_threads', message: 'One loop on one thread.'},
					{name: 'node:cluster', message: 'One loop on one thread.'},
				],
			}],
		},
	},
];

export default config;
