/** The lists of the document as the console shows them: fields of their entries and values of a new entry. */
import {type Choice, type Field, type FieldKind} from './fields.js';
import {type JsonObject} from './json.js';

export type EntryKind = {
	/** Value of the entry's `kind`; empty for lists with one kind of entry. */
	readonly id: string;
	readonly label: string;
	/** Values that a new entry starts with. */
	readonly fresh: JsonObject;
	readonly fields: readonly Field[];
};

export type Section = {
	readonly id: 'failureDomains' | 'services' | 'organisations' | 'upstreams' | 'plannedStops' | 'takeovers' | 'tokenKeys';
	readonly title: string;
	readonly intro: string;
	/** Values shown in the list next to the name. */
	readonly columns: ReadonlyArray<{readonly label: string; readonly path: readonly string[]}>;
	readonly kinds: readonly EntryKind[];
};

const text: FieldKind = {type: 'text'};
const number: FieldKind = {type: 'number'};
const yesNo: FieldKind = {type: 'yes-no'};
const lines: FieldKind = {type: 'lines'};

function field(path: string, label: string, kind: FieldKind, help?: string): Field {
	return {
		path: path.split('.'), label, kind, help,
	};
}

function choice(...values: ReadonlyArray<string | Choice>): FieldKind {
	return {
		type: 'choice',
		choices: values.map(value => typeof value === 'string' ? {value, label: value} : value),
	};
}

function reference(list: string, isOptional = false): FieldKind {
	return {type: 'reference', list, isOptional};
}

const nameField = field('id', 'Name', text, 'Letters, digits, dots, hyphens and underscores.');

const serviceFields = [
	nameField,
	field('deadline.default', 'Default deadline (ms)', number),
	field('deadline.most', 'Longest deadline (ms)', number),
	field('idempotent', 'Requests may be repeated', yesNo, 'Callers can override this. Choose no for payments, bookings and style checks.'),
	field('ticketRule', 'A request that may run only once needs', choice(
		{value: 'key', label: 'an idempotency key or a ticket'},
		{value: 'ticket', label: 'a ticket'},
	)),
	field('retryBudget.ratio', 'Retries as a share of requests', number, 'From 0 to 1.'),
	field('retryBudget.burst', 'Maximum retries saved up', number),
	field('queueLimit', 'Maximum requests queued at one host', number),
	field('policy', 'Routing policy', choice('cost', 'random', 'round-robin', 'least-requests'), 'Policies other than cost are baselines for comparison.'),
];

const freshService = {
	id: '',
	deadline: {default: 60_000, most: 600_000},
	idempotent: false,
	ticketRule: 'key',
	retryBudget: {ratio: 0.1, burst: 10},
	queueLimit: 1000,
	policy: 'cost',
};

const services: Section = {
	id: 'services',
	title: 'Services',
	intro: 'Models and plain services that callers send requests to.',
	columns: [
		{label: 'Kind', path: ['kind']},
		{label: 'Model', path: ['model']},
		{label: 'Longest deadline (ms)', path: ['deadline', 'most']},
		{label: 'May be repeated', path: ['idempotent']},
	],
	kinds: [
		{
			id: 'model',
			label: 'model service',
			fresh: {
				...freshService, kind: 'model', model: '', lengthClasses: {short: 4096, long: 100_000}, weights: {slowdown: 1, firstToken: 1}, expectedOutput: 256, readyEngines: 1,
			},
			fields: [
				...serviceFields,
				field('model', 'Model', text),
				field('lengthClasses.short', 'Longest short prompt (tokens)', number),
				field('lengthClasses.long', 'Shortest long prompt (tokens)', number),
				field('weights.slowdown', 'Weight of the slowdown of short requests', number),
				field('weights.firstToken', 'Weight of the time to first token', number),
				field('expectedOutput', 'Expected answer length before any is measured (tokens)', number),
				field('readyEngines', 'Engines of a failure domain that stay ready during changes', number),
			],
		},
		{
			id: 'plain', label: 'plain service', fresh: {...freshService, kind: 'plain'}, fields: serviceFields,
		},
	],
};

const organisations: Section = {
	id: 'organisations',
	title: 'Organisations',
	intro: 'Callers, their priorities and their limits.',
	columns: [
		{label: 'Priority', path: ['priority']},
		{label: 'Weight', path: ['weight']},
		{label: 'Requests per second', path: ['limits', 'requestsPerSecond']},
	],
	kinds: [{
		id: '',
		label: 'organisation',
		fresh: {
			id: '', keyHashes: [], priority: 5, weight: 1, limits: {},
		},
		fields: [
			nameField,
			field('priority', 'Priority', number, 'From 0 to 9; 0 runs first.'),
			field('weight', 'Weight', number, 'Share among organisations of the same priority.'),
			field('limits.requestsPerSecond', 'Requests per second, whole fleet', number, 'Empty for no limit.'),
			field('limits.tokensPerSecond', 'Tokens per second, whole fleet', number, 'Empty for no limit.'),
			field('limits.concurrent', 'Concurrent requests, whole fleet', number, 'Empty for no limit.'),
			field('keyHashes', 'SHA-256 of each API key', lines, 'One per line. To change a key, add the new one first and remove the old one when it is no longer used.'),
		],
	}],
};

const upstreamFields = [
	nameField,
	field('service', 'Service', reference('services')),
	field('failureDomain', 'Failure domain', reference('failureDomains')),
	field('address.host', 'IP address', text),
	field('address.port', 'Port', number),
];

const freshUpstream = {
	id: '', service: '', failureDomain: '', address: {host: '', port: 8000},
};

const concurrentField = field('concurrent', 'Concurrent requests', number);

const upstreams: Section = {
	id: 'upstreams',
	title: 'Upstreams',
	intro: 'Engines, plain upstreams and the endpoints of the old scripts.',
	columns: [
		{label: 'Kind', path: ['kind']},
		{label: 'Service', path: ['service']},
		{label: 'Failure domain', path: ['failureDomain']},
		{label: 'IP address', path: ['address', 'host']},
		{label: 'Port', path: ['address', 'port']},
	],
	kinds: [
		{
			id: 'engine',
			label: 'engine',
			fresh: {
				...freshUpstream, kind: 'engine', memory: 400_000, prefillRate: 10_000, decodeInterval: 25, batch: 32, fencing: false,
			},
			fields: [
				...upstreamFields,
				field('memory', 'Capacity of the KV cache (tokens)', number),
				field('prefillRate', 'Prefill speed before it is measured (tokens per second)', number),
				field('decodeInterval', 'Time between tokens before it is measured (ms)', number),
				field('batch', 'Maximum requests in one batch', number),
				field('fencing', 'Refuses orders with an outdated fencing number', yesNo, 'Choose yes only if the engine is known to check it.'),
				field('target.model', 'Model to load', text, 'Leave model and version empty for an engine that receives no orders.'),
				field('target.version', 'Version to load', text),
				field('target.adapters', 'Adapters to load', lines, 'One per line.'),
				field('target.role', 'Role', choice({value: '', label: 'none'}, 'mixed', 'prefill', 'decode')),
			],
		},
		{
			id: 'plain', label: 'plain upstream', fresh: {...freshUpstream, kind: 'plain', concurrent: 64}, fields: [...upstreamFields, concurrentField],
		},
		{
			id: 'legacy', label: 'old endpoint', fresh: {...freshUpstream, kind: 'legacy', concurrent: 64}, fields: [...upstreamFields, concurrentField],
		},
	],
};

const plannedStops: Section = {
	id: 'plannedStops',
	title: 'Planned stops',
	intro: 'Hosts and upstreams that stop after their running requests have finished.',
	columns: [
		{label: 'Stops', path: ['target', 'kind']},
		{label: 'Name of the target', path: ['target', 'id']},
		{label: 'Time for running requests (ms)', path: ['grace']},
	],
	kinds: [{
		id: '',
		label: 'planned stop',
		fresh: {
			id: '', target: {kind: 'upstream', id: ''}, notBefore: 0, grace: 600_000,
		},
		fields: [
			field('id', 'Name of the stop', text),
			field('target.kind', 'What stops', choice('host', 'upstream')),
			field('target.id', 'Its name', text),
			field('notBefore', 'Not before (UTC)', {type: 'time'}),
			field('grace', 'Time for running requests (ms)', number, 'At least the longest deadline, so that no request is interrupted.'),
		],
	}],
};

const takeovers: Section = {
	id: 'takeovers',
	title: 'Takeovers',
	intro: 'Whether cranberrytide or the old endpoint serves requests. Without a matching rule, cranberrytide serves. The most specific rule wins.',
	columns: [
		{label: 'Failure domain', path: ['failureDomain']},
		{label: 'Organisation', path: ['organisation']},
		{label: 'Served by', path: ['servedBy']},
	],
	kinds: [{
		id: '',
		label: 'takeover',
		fresh: {service: '', servedBy: 'legacy'},
		fields: [
			field('service', 'Service', reference('services')),
			field('failureDomain', 'Failure domain', reference('failureDomains', true)),
			field('organisation', 'Organisation', text, 'Empty for all.'),
			field('servedBy', 'Served by', choice('cranberrytide', {value: 'legacy', label: 'the old endpoint'})),
		],
	}],
};

const failureDomains: Section = {
	id: 'failureDomains',
	title: 'Failure domains',
	intro: 'Each failure domain has its own hosts and upstreams.',
	columns: [{label: 'Region', path: ['region']}],
	kinds: [{
		id: '', label: 'failure domain', fresh: {id: '', region: ''}, fields: [nameField, field('region', 'Region', text)],
	}],
};

const tokenKeys: Section = {
	id: 'tokenKeys',
	title: 'Token keys',
	intro: 'Keys that sign tickets and stream positions. The first key signs; all keys verify. '
		+ 'To change keys, add the new key; when that document is in force everywhere, move the key to the top; when the old tokens have expired, remove the old key.',
	columns: [],
	kinds: [{
		id: '', label: 'token key', fresh: {id: '', secret: ''}, fields: [nameField],
	}],
};

export const sections: readonly Section[] = [services, organisations, upstreams, plannedStops, takeovers, failureDomains, tokenKeys];

/** Fields of the document itself, shown below one of its lists. */
export type DocumentGroup = {
	readonly title: string;
	readonly fields: readonly Field[];
};

const stopRule: DocumentGroup = {
	title: 'Stop rule',
	fields: [
		field('stopRule.concurrentHosts', 'Hosts of one failure domain that may stop at the same time', number),
		field('stopRule.concurrentUpstreams', 'Upstreams of one service and failure domain that may stop at the same time', number),
	],
};

const weightStore: DocumentGroup = {
	title: 'Weight store',
	fields: [
		field('weightStore.address.host', 'IP address', text, 'Leave all three fields empty if there is no weight store.'),
		field('weightStore.address.port', 'Port', number),
		field('weightStore.loadsPerSecond', 'Loads per second accepted from all clients together', number),
	],
};

export const documentGroups: Readonly<Partial<Record<Section['id'], DocumentGroup>>> = {
	plannedStops: stopRule,
	upstreams: weightStore,
};

/**
 * @param id - Name of a list.
 * @returns Its section, if it has one.
 */
export function findSection(id: string): Section | undefined {
	return sections.find(section => section.id === id);
}

/**
 * @param section - Section.
 * @param entry - One of its entries.
 * @returns Kind of the entry; the first kind if the entry states none that is known.
 */
export function getEntryKind(section: Section, entry: JsonObject): EntryKind {
	return section.kinds.find(kind => kind.id === entry.kind) ?? section.kinds[0]!;
}
