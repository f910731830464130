/** Finds all mistakes of a draft at once, including those that validation reports only after every field is well-formed. */
import {parseConfiguration, type Mistake, type ParseResult} from '../../protocol/configuration/index.js';
import {type FieldKind} from './fields.js';
import {
	getEntries,
	getValueAt,
	setValueAt,
	type Draft,
	type Json,
	type Path,
} from './json.js';
import {documentGroups, getEntryKind, findSection} from './sections.js';

/** Marks placeholders, so that mistakes which mention one can be left out. */
const placeholderPrefix = 'placeholder-for-malformed-field-';

/**
 * Validation stops at malformed fields, before it checks references and limits. To show operators all mistakes together, this
 * replaces malformed fields with placeholders, validates again and leaves out the mistakes that the placeholders cause.
 *
 * @param draft - Draft.
 * @param parsed - Result of validating it.
 * @returns All mistakes found.
 */
export function findMistakes(draft: Draft, parsed: ParseResult): readonly Mistake[] {
	if (parsed.type === 'valid') {
		return [];
	}

	const filled = parsed.further === 0 ? replaceMalformedFields(draft, parsed.mistakes) : undefined;
	return filled === undefined ? parsed.mistakes : [...parsed.mistakes, ...findHiddenMistakes(filled, parsed.mistakes)];
}

function findHiddenMistakes(filled: Draft, found: readonly Mistake[]): readonly Mistake[] {
	const parsed = parseConfiguration(JSON.stringify(filled));
	if (parsed.type === 'valid') {
		return [];
	}

	const malformedParents = new Set(found.map(({path}) => getParentPath(path)));
	return parsed.mistakes.filter(({path, code, text}) =>
		code !== 'badDocument'
		&& !malformedParents.has(getParentPath(path))
		&& !text.includes(placeholderPrefix));
}

function getParentPath(path: string): string {
	return path.replace(/(?:\.\w+|\[\d+\])$/v, '');
}

/** Returns undefined if a mistake belongs to no field, since its placeholder would be unknown. */
function replaceMalformedFields(draft: Draft, mistakes: readonly Mistake[]): Draft | undefined {
	let filled = draft;
	for (const [index, {path, code}] of mistakes.entries()) {
		const malformed = code === 'badDocument' ? findField(draft, path) : undefined;
		if (malformed === undefined) {
			return undefined;
		}

		filled = setValueAt(filled, malformed.path, createPlaceholder(malformed.kind, malformed.fresh, index));
	}

	return filled;
}

type MalformedField = {
	readonly path: Path;
	readonly kind: FieldKind;
	/** Value that a new entry starts with. */
	readonly fresh: Json;
};

function findField(draft: Draft, path: string): MalformedField | undefined {
	const [, list = '', index, rest = ''] = /^\$\.(\w+)\[(\d+)\]\.(.+)$/v.exec(path) ?? [];
	const section = findSection(list);
	if (section === undefined) {
		return findDocumentField(path);
	}

	const kind = getEntryKind(section, getEntries(draft, list)[Number(index)] ?? {});
	const field = kind.fields.find(each => isAtOrBelow(rest, each.path.join('.')));
	return field && {path: [list, Number(index), ...field.path], kind: field.kind, fresh: getValueAt(kind.fresh, field.path)};
}

function findDocumentField(path: string): MalformedField | undefined {
	const field = Object.values(documentGroups)
		.flatMap(group => group.fields)
		.find(each => isAtOrBelow(path.slice('$.'.length), each.path.join('.')));
	return field && {path: field.path, kind: field.kind, fresh: 1};
}

function isAtOrBelow(path: string, ancestor: string): boolean {
	return path === ancestor || path.startsWith(`${ancestor}.`) || path.startsWith(`${ancestor}[`);
}

function createPlaceholder(kind: FieldKind, fresh: Json, index: number): Json {
	switch (kind.type) {
		case 'text':
		case 'reference': {
			return `${placeholderPrefix}${index}`;
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
