/** Checks a draft and compares it with its base and with the document in force. */
import {Buffer} from 'node:buffer';
import {
	describeChange,
	compareConfigurations,
	maxDocumentBytes,
	parseConfiguration,
	describeWarning,
	findWarnings,
	type Mistake,
	type ParseResult,
} from '../../protocol/configuration/index.js';
import {type BaseStatus} from '../source.js';
import {findMistakes} from './mistakes.js';
import {type DraftState} from './state.js';

/** Result of checking a draft, for the operator to read before the document is published. */
export type Review = {
	readonly revision: number;
	/** The document as it would be downloaded. */
	readonly text: string;
	readonly mistakes: readonly Mistake[];
	/** Number of mistakes that are not listed. */
	readonly further: number;
	/** One sentence for each change; undefined while there are mistakes. */
	readonly changes: readonly string[] | undefined;
	readonly warnings: readonly string[];
};

/**
 * @param state - Draft and its base.
 * @param baseStatus - Whether the base is still in force.
 * @returns Mistakes, changes and warnings. The new revision is above the base's and, if known, above the one in force.
 */
export function reviewDraft(state: DraftState, baseStatus: BaseStatus): Review {
	const {base, draft} = state;
	const highest = Math.max(base.configuration.revision, baseStatus.type === 'superseded' ? baseStatus.inForce.configuration.revision : 0);
	const revision = highest + 1;
	const text = formatDocument({...draft, revision});
	const parsed = parseConfiguration(text);
	return {revision, text, ...checkDocument(state, parsed)};
}

function checkDocument({base, draft}: DraftState, parsed: ParseResult): Omit<Review, 'revision' | 'text'> {
	if (parsed.type === 'invalid') {
		return {
			mistakes: findMistakes(draft, parsed), further: parsed.further, changes: undefined, warnings: [],
		};
	}

	const {configuration} = parsed;
	const warnings = findWarnings(configuration, base.configuration).map(warning => describeWarning(warning));
	const droppedFields = base.unknownFields.map(path => `${path} of the base is unknown to this version of the console and is left out.`);
	return {
		mistakes: [],
		further: 0,
		changes: compareConfigurations(base.configuration, configuration)
			.filter(change => change.type !== 'document-changed' || change.field !== 'revision')
			.map(change => describeChange(change)),
		warnings: [...warnings, ...droppedFields],
	};
}

/** Indents the document for readers unless that exceeds the size limit. */
function formatDocument(document: unknown): string {
	const indented = `${JSON.stringify(document, undefined, '\t')}\n`;
	return Buffer.byteLength(indented) <= maxDocumentBytes ? indented : JSON.stringify(document);
}

/**
 * @param mistakes - All mistakes of a draft.
 * @param path - JSON path of an entry or a field.
 * @returns The mistakes at the path and below it.
 */
export function filterMistakes(mistakes: readonly Mistake[], path: string): readonly Mistake[] {
	return mistakes.filter(mistake => mistake.path === path
		|| mistake.path.startsWith(`${path}.`)
		|| mistake.path.startsWith(`${path}[`));
}
