/** Lists of the document: their entries' fields, and what a new entry starts with. */
import {type Choice, type Field, type FieldKind} from './fields.js';
import {type Entry} from './json.js';

export type EntryKind = {
	/** As in the entry's `kind`; empty for lists whose entries are all alike. */
	readonly id: string;
	readonly label: string;
	readonly fresh: Entry;
	readonly fields: readonly Field[];
};

export type Section = {
	readonly id: 'failureDomains' | 'services' | 'organisations' | 'upstreams' | 'plannedStops' | 'takeovers' | 'tokenKeys';
	readonly title: string;
	readonly intro: string;
	/** Values shown in the list, beside the name. */
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

const name = field('id', 'Name', text, 'Letters, digits, dots, hyphens and underscores.');

const serviceFields = [
	name,
	field('deadline.default', 'Deadline if none is asked for (ms)', number),
	field('deadline.most', 'Longest deadline (ms)', number),
	field('idempotent', 'Requests may be repeated', yesNo, 'Unless the caller says otherwise. Choose no for payments, bookings and style checks.'),
	field('ticketRule', 'A request that may run only once needs', choice(
		{value: 'key', label: 'an idempotency key or a ticket'},
		{value: 'ticket', label: 'a ticket'},
	)),
	field('retryBudget.ratio', 'Retries as a share of requests', number, 'From 0 to 1.'),
	field('retryBudget.burst', 'Retries saved up at most', number),
	field('queueLimit', 'Requests that may wait at one host', number),
	field('policy', 'Routing policy', choice('cost', 'random', 'round-robin', 'least-requests'), 'All but cost are baselines for comparison.'),
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
	intro: 'What callers ask for: models and plain services.',
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
				field('lengthClasses.short', 'Short prompts have up to (tokens)', number),
				field('lengthClasses.long', 'Long prompts have at least (tokens)', number),
				field('weights.slowdown', 'Weight of the slowdown of short requests', number),
				field('weights.firstToken', 'Weight of the time to first token', number),
				field('expectedOutput', 'Answer length until one is learnt (tokens)', number),
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
	intro: 'Who may call, how urgent their work is and how much of it is taken.',
	columns: [
		{label: 'Priority', path: ['priority']},
		{label: 'Weight', path: ['weight']},
		{label: 'Requests a second', path: ['limits', 'requestsPerSecond']},
	],
	kinds: [{
		id: '',
		label: 'organisation',
		fresh: {
			id: '', keyHashes: [], priority: 5, weight: 1, limits: {},
		},
		fields: [
			name,
			field('priority', 'Priority', number, 'From 0 to 9; 0 runs first.'),
			field('weight', 'Weight', number, 'Share among organisations of the same priority.'),
			field('limits.requestsPerSecond', 'Requests a second, whole fleet', number, 'Empty for no limit.'),
			field('limits.tokensPerSecond', 'Tokens a second, whole fleet', number, 'Empty for no limit.'),
			field('limits.concurrent', 'Requests at once, whole fleet', number, 'Empty for no limit.'),
			field('keyHashes', 'SHA-256 of each API key', lines, 'One a line. To change a key, add the new one first and remove the old one once nobody uses it.'),
		],
	}],
};

const upstreamFields = [
	name,
	field('service', 'Service', reference('services')),
	field('failureDomain', 'Failure domain', reference('failureDomains')),
	field('address.host', 'IP number', text),
	field('address.port', 'Port', number),
];

const freshUpstream = {
	id: '', service: '', failureDomain: '', address: {host: '', port: 8000},
};

const concurrent = field('concurrent', 'Requests at once', number);

const upstreams: Section = {
	id: 'upstreams',
	title: 'Upstreams',
	intro: 'Engines, plain upstreams and the endpoints of the old scripts.',
	columns: [
		{label: 'Kind', path: ['kind']},
		{label: 'Service', path: ['service']},
		{label: 'Failure domain', path: ['failureDomain']},
		{label: 'IP number', path: ['address', 'host']},
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
				field('memory', 'KV cache that fits into its memory (tokens)', number),
				field('prefillRate', 'Prefill speed until learnt (tokens a second)', number),
				field('decodeInterval', 'Time between tokens until learnt (ms)', number),
				field('batch', 'Requests in one batch', number),
				field('fencing', 'Refuses orders with an old number', yesNo, 'Say yes only if the engine is known to check.'),
				field('target.model', 'Model to load', text, 'Leave model and version empty for an engine that is not ordered.'),
				field('target.version', 'Version to load', text),
				field('target.adapters', 'Adapters to load', lines, 'One a line.'),
				field('target.role', 'Role', choice({value: '', label: 'none'}, 'mixed', 'prefill', 'decode')),
			],
		},
		{
			id: 'plain', label: 'plain upstream', fresh: {...freshUpstream, kind: 'plain', concurrent: 64}, fields: [...upstreamFields, concurrent],
		},
		{
			id: 'legacy', label: 'old endpoint', fresh: {...freshUpstream, kind: 'legacy', concurrent: 64}, fields: [...upstreamFields, concurrent],
		},
	],
};

const plannedStops: Section = {
	id: 'plannedStops',
	title: 'Planned stops',
	intro: 'Hosts and upstreams that are to stop once their running requests have finished.',
	columns: [
		{label: 'Stops', path: ['target', 'kind']},
		{label: 'Name of it', path: ['target', 'id']},
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
			field('grace', 'Time for running requests (ms)', number, 'At least the longest deadline, so that none is cut.'),
		],
	}],
};

const takeovers: Section = {
	id: 'takeovers',
	title: 'Takeovers',
	intro: 'Who serves: cranberrytide or the old endpoint. Where nothing is said, cranberrytide serves. The rule that names more counts.',
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
	intro: 'Each has its own hosts and upstreams.',
	columns: [{label: 'Region', path: ['region']}],
	kinds: [{
		id: '', label: 'failure domain', fresh: {id: '', region: ''}, fields: [name, field('region', 'Region', text)],
	}],
};

const tokenKeys: Section = {
	id: 'tokenKeys',
	title: 'Token keys',
	intro: 'They sign tickets and stream positions. The first signs, all verify. '
		+ 'To change keys: add one; when that document is in force everywhere, move it to the top; when the old tokens have expired, remove the old one.',
	columns: [],
	kinds: [{
		id: '', label: 'token key', fresh: {id: '', secret: ''}, fields: [name],
	}],
};

export const sections: readonly Section[] = [services, organisations, upstreams, plannedStops, takeovers, failureDomains, tokenKeys];

/** Fields of the document itself that stand under one of its lists. */
export type DocumentGroup = {
	readonly title: string;
	readonly fields: readonly Field[];
};

const stopRule: DocumentGroup = {
	title: 'Stop rule',
	fields: [
		field('stopRule.concurrentHosts', 'Hosts of one failure domain that may stop at a time', number),
		field('stopRule.concurrentUpstreams', 'Upstreams of one service and failure domain that may stop at a time', number),
	],
};

const weightStore: DocumentGroup = {
	title: 'Weight store',
	fields: [
		field('weightStore.address.host', 'IP number', text, 'Leave all three empty where there is none.'),
		field('weightStore.address.port', 'Port', number),
		field('weightStore.loadsPerSecond', 'Loads a second that it accepts from everyone', number),
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
export function sectionOf(id: string): Section | undefined {
	return sections.find(section => section.id === id);
}

/**
 * @param section - Section.
 * @param entry - One of its entries.
 * @returns What kind of entry it is; the first kind where it does not say.
 */
export function kindOf(section: Section, entry: Entry): EntryKind {
	return section.kinds.find(kind => kind.id === entry.kind) ?? section.kinds[0]!;
}
