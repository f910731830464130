/** Finds every mistake of a draft at once, also those that a reader finds only once all fields have the right form. */
import {parseConfiguration, type Mistake, type Parsed} from '../../protocol/configuration/index.js';
import {type FieldKind} from './fields.js';
import {
	entriesOf,
	read,
	write,
	type Draft,
	type Json,
	type Path,
} from './json.js';
import {documentGroups, kindOf, sectionOf} from './sections.js';

/** Names that stand in for broken ones begin with it. */
const standInName = 'stand-in-for-a-broken-field-';

/**
 * A document whose fields do not all have the right form is not checked further. So that operators see all mistakes together,
 * broken fields are filled with stand-ins and the document is read again; mistakes that the stand-ins cause are left out.
 *
 * @param draft - Draft.
 * @param parsed - What reading it gave.
 * @returns Every mistake found.
 */
export function mistakesOf(draft: Draft, parsed: Parsed): readonly Mistake[] {
	if (parsed.type === 'valid') {
		return [];
	}

	const filled = parsed.further === 0 ? fill(draft, parsed.mistakes) : undefined;
	return filled === undefined ? parsed.mistakes : [...parsed.mistakes, ...hidden(filled, parsed.mistakes)];
}

function hidden(filled: Draft, found: readonly Mistake[]): readonly Mistake[] {
	const parsed = parseConfiguration(JSON.stringify(filled));
	if (parsed.type === 'valid') {
		return [];
	}

	const neighbourhoods = new Set(found.map(({path}) => parentOf(path)));
	return parsed.mistakes.filter(({path, code, text}) =>
		code !== 'badDocument'
		&& !neighbourhoods.has(parentOf(path))
		&& !text.includes(standInName));
}

function parentOf(path: string): string {
	return path.replace(/(?:\.\w+|\[\d+\])$/v, '');
}

/** Undefined where some broken place has no field, so that no stand-in is known. */
function fill(draft: Draft, mistakes: readonly Mistake[]): Draft | undefined {
	let filled = draft;
	for (const [index, {path, code}] of mistakes.entries()) {
		const broken = code === 'badDocument' ? findField(draft, path) : undefined;
		if (broken === undefined) {
			return undefined;
		}

		filled = write(filled, broken.path, standIn(broken.kind, broken.fresh, index));
	}

	return filled;
}

type Broken = {
	readonly path: Path;
	readonly kind: FieldKind;
	/** Value of a fresh entry. */
	readonly fresh: Json;
};

function findField(draft: Draft, path: string): Broken | undefined {
	const [, list = '', index, rest = ''] = /^\$\.(\w+)\[(\d+)\]\.(.+)$/v.exec(path) ?? [];
	const section = sectionOf(list);
	if (section === undefined) {
		return findDocumentField(path);
	}

	const kind = kindOf(section, entriesOf(draft, list)[Number(index)] ?? {});
	const field = kind.fields.find(each => isAtOrBelow(rest, each.path.join('.')));
	return field && {path: [list, Number(index), ...field.path], kind: field.kind, fresh: read(kind.fresh, field.path)};
}

function findDocumentField(path: string): Broken | undefined {
	const field = Object.values(documentGroups)
		.flatMap(group => group.fields)
		.find(each => isAtOrBelow(path.slice('$.'.length), each.path.join('.')));
	return field && {path: field.path, kind: field.kind, fresh: 1};
}

function isAtOrBelow(path: string, place: string): boolean {
	return path === place || path.startsWith(`${place}.`) || path.startsWith(`${place}[`);
}

function standIn(kind: FieldKind, fresh: Json, index: number): Json {
	switch (kind.type) {
		case 'text':
		case 'reference': {
			return `${standInName}${index}`;
		}

		case 'number': {
			return typeof fresh === 'number' ? fresh : 1;
		}

		case 'time': {
			return 0;
		}

		case 'yes-no': {
			return false;
		}

		case 'choice': {
			return kind.choices[0]!.value;
		}

		case 'lines': {
			return [];
		}
	}
}
