import {defineConfig} from 'vitest/config';

export default defineConfig({
	test: {
		include: ['**/__tests__/**/*.test.ts'],
		exclude: ['node_modules/**', 'dist/**'],
		testTimeout: 60_000,
		hookTimeout: 60_000,
		// Tests start real processes; fewer files at once keeps their verdict the same on a small machine.
		maxWorkers: 4,
	},
});
