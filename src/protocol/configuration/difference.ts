/** Compares two documents. */
import {type Configuration, type Takeover} from '../../core/index.js';
import {type Change, type Entry, type Value} from './changes.js';

type Named = {readonly id: string};

/**
 * Entries are compared by name, so their order does not matter, but for the token keys, whose first one signs.
 *
 * @param before - One document.
 * @param after - The document that follows it.
 * @returns What changes, none if the documents mean the same.
 */
export function difference(before: Configuration, after: Configuration): readonly Change[] {
	return [
		...documentChanges(before, after),
		...entryChanges('failure domain', before.failureDomains, after.failureDomains),
		...entryChanges('service', before.services, after.services),
		...entryChanges('organisation', before.organisations, after.organisations),
		...entryChanges('upstream', before.upstreams, after.upstreams),
		...entryChanges('planned stop', before.plannedStops, after.plannedStops),
		...takeoverChanges(before.takeovers, after.takeovers),
		...keyChanges(before, after),
	];
}

function documentChanges(before: Configuration, after: Configuration): readonly Change[] {
	const own = ({schema, revision, stopRule, weightStore}: Configuration) => fieldsOf({
		schema, revision, stopRule, weightStore,
	});
	return pairs(own(before), own(after)).flatMap(([field, old, next]) => isList(old) || isList(next) || old === next
		? []
		: [{
			type: 'document-changed', field, before: old, after: next,
		}]);
}

function entryChanges(entry: Entry, before: readonly Named[], after: readonly Named[]): readonly Change[] {
	return pairs(byId(before), byId(after)).flatMap(([id, old, next]) => {
		if (old === undefined) {
			return [{type: 'added', entry, id}];
		}

		return next === undefined ? [{type: 'removed', entry, id}] : fieldChanges(entry, id, old, next);
	});
}

function fieldChanges(entry: Entry, id: string, before: Named, after: Named): readonly Change[] {
	return pairs(fieldsOf(before), fieldsOf(after))
		.filter(([, old, next]) => !isSame(old, next))
		.map(([field, old, next]) => {
			if (field === 'secret') {
				return {type: 'secret-changed', id};
			}

			return isList(old) || isList(next)
				? {
					type: 'list-changed', entry, id, field, ...listChange(old, next),
				}
				: {
					type: 'field-changed', entry, id, field, before: old, after: next,
				};
		});
}

function listChange(old: Field | undefined, next: Field | undefined) {
	const earlier = membersOf(old);
	const later = membersOf(next);
	return {
		added: [...later].filter(each => !earlier.has(each)),
		removed: [...earlier].filter(each => !later.has(each)),
	};
}

function takeoverChanges(before: readonly Takeover[], after: readonly Takeover[]): readonly Change[] {
	const byScope = (takeovers: readonly Takeover[]) => new Map(takeovers.map(takeover => {
		const {servedBy, ...scope} = takeover;
		const key = JSON.stringify([scope.service, scope.failureDomain, scope.organisation]);
		return [key, {scope, servedBy}];
	}));
	return pairs(byScope(before), byScope(after))
		.filter(([, old, next]) => old?.servedBy !== next?.servedBy)
		.map(([, old, next]) => ({
			type: 'takeover-changed', scope: (next ?? old)!.scope, before: old?.servedBy, after: next?.servedBy,
		}));
}

function keyChanges(before: Configuration, after: Configuration): readonly Change[] {
	const changes = entryChanges('token key', before.tokenKeys, after.tokenKeys);
	const old = before.tokenKeys[0]!.id;
	const next = after.tokenKeys[0]!.id;
	return old === next ? changes : [...changes, {type: 'signing-key-changed', before: old, after: next}];
}

type Field = Value | readonly string[];

function isList(field: Field | undefined): field is readonly string[] {
	return Array.isArray(field);
}

function membersOf(field: Field | undefined): ReadonlySet<string> {
	return new Set(isList(field) ? field : []);
}

/** An absent list is as good as an empty one. */
function isSame(first: Field | undefined, second: Field | undefined): boolean {
	if (!isList(first) && !isList(second)) {
		return first === second;
	}

	const {added, removed} = listChange(first, second);
	return added.length === 0 && removed.length === 0;
}

/** Every leaf by its path below the entry; lists of an entry hold names only. */
function fieldsOf(value: unknown, path = '', fields = new Map<string, Field>()): ReadonlyMap<string, Field> {
	if (isField(value)) {
		fields.set(path, value);
	} else if (typeof value === 'object' && value !== null) {
		for (const [key, below] of Object.entries(value)) {
			fieldsOf(below, path === '' ? key : `${path}.${key}`, fields);
		}
	}

	return fields;
}

function isField(value: unknown): value is Field {
	return Array.isArray(value) || ['string', 'number', 'boolean'].includes(typeof value);
}

function byId(entries: readonly Named[]): ReadonlyMap<string, Named> {
	return new Map(entries.map(entry => [entry.id, entry]));
}

/** Both values of each key, those of the first map first. */
function pairs<Content>(
	before: ReadonlyMap<string, Content>,
	after: ReadonlyMap<string, Content>,
): ReadonlyArray<readonly [key: string, before: Content | undefined, after: Content | undefined]> {
	const keys = new Set([...before.keys(), ...after.keys()]);
	return [...keys].map(key => [key, before.get(key), after.get(key)]);
}
