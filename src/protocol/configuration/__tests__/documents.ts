/** Configuration documents for tests. */

const repeatHashDigit = (digit: string) => digit.repeat(64);

/** A valid document before parsing; tests override whole lists of it. */
export const baseDocument = {
	schema: 1,
	revision: 7,
	failureDomains: [{id: 'north', region: 'r'}, {id: 'south', region: 'r'}],
	services: [
		{
			id: 'check', kind: 'model', model: 'style', idempotent: false, deadline: {default: 60_000, most: 600_000},
		},
		{
			id: 'reference', kind: 'plain', idempotent: true, deadline: {default: 2000, most: 10_000},
		},
	],
	organisations: [
		{id: 'daily', keyHashes: [repeatHashDigit('a')], priority: 2},
		{id: 'weekly', keyHashes: [repeatHashDigit('b')]},
	],
	upstreams: [
		createEngine('n1', 'north', 9001),
		createEngine('n2', 'north', 9002),
		createEngine('s1', 'south', 9003),
		{
			id: 'plain-1', kind: 'plain', service: 'reference', failureDomain: 'north', address: {host: '10.0.0.1', port: 9100},
		},
		{
			id: 'old-check', kind: 'legacy', service: 'check', failureDomain: 'north', address: {host: '10.0.0.1', port: 9200},
		},
	],
	tokenKeys: [{id: 'k1', secret: repeatHashDigit('1')}, {id: 'k2', secret: repeatHashDigit('2')}],
};

export function createEngine(id: string, failureDomain: string, port: number) {
	return {
		id, kind: 'engine', service: 'check', failureDomain, address: {host: '10.0.0.1', port}, memory: 400_000, fencing: true,
	};
}

export function formatDocument(overrides: Readonly<Record<string, unknown>> = {}): string {
	return JSON.stringify({...baseDocument, ...overrides});
}
