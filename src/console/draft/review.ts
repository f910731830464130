/** Checks a draft against the document it starts from and the one in force. */
import {Buffer} from 'node:buffer';
import {
	changeInWords,
	difference,
	documentLimit,
	parseConfiguration,
	warningInWords,
	warningsOf,
	type Mistake,
	type Parsed,
} from '../../protocol/configuration/index.js';
import {type Standing} from '../source.js';
import {mistakesOf} from './findings.js';
import {type State} from './state.js';

/** What an operator should know before the document is published. */
export type Review = {
	readonly revision: number;
	/** The finished document. */
	readonly text: string;
	readonly mistakes: readonly Mistake[];
	/** Mistakes beyond those listed. */
	readonly further: number;
	/** In words; undefined while there are mistakes. */
	readonly changes: readonly string[] | undefined;
	readonly warnings: readonly string[];
};

/**
 * @param state - Draft and its base.
 * @param standing - What is known of the document in force.
 * @returns Mistakes, changes and warnings.
 */
export function reviewOf(state: State, standing: Standing): Review {
	const {base, draft} = state;
	const highest = Math.max(base.configuration.revision, standing.type === 'superseded' ? standing.inForce.configuration.revision : 0);
	const revision = highest + 1;
	const text = writeDocument({...draft, revision});
	const parsed = parseConfiguration(text);
	return {revision, text, ...findings(state, parsed)};
}

function findings({base, draft}: State, parsed: Parsed): Omit<Review, 'revision' | 'text'> {
	if (parsed.type === 'invalid') {
		return {
			mistakes: mistakesOf(draft, parsed), further: parsed.further, changes: undefined, warnings: [],
		};
	}

	const {configuration} = parsed;
	const warnings = warningsOf(configuration, base.configuration).map(warning => warningInWords(warning));
	const leftOut = base.unknownFields.map(path => `${path} of the base is not known here and is left out.`);
	return {
		mistakes: [],
		further: 0,
		changes: difference(base.configuration, configuration)
			.filter(change => change.type !== 'document-changed' || change.field !== 'revision')
			.map(change => changeInWords(change)),
		warnings: [...warnings, ...leftOut],
	};
}

/** Indented for people while there is room for it. */
function writeDocument(document: unknown): string {
	const indented = `${JSON.stringify(document, undefined, '\t')}\n`;
	return Buffer.byteLength(indented) <= documentLimit ? indented : JSON.stringify(document);
}

/**
 * @param mistakes - All mistakes of a draft.
 * @param path - JSON path of an entry or a field.
 * @returns The mistakes there and below.
 */
export function mistakesAt(mistakes: readonly Mistake[], path: string): readonly Mistake[] {
	return mistakes.filter(mistake => mistake.path === path
		|| mistake.path.startsWith(`${path}.`)
		|| mistake.path.startsWith(`${path}[`));
}
