/** Generates the requests of a scenario; the same seed gives the same requests. */
import {uniformFloat32} from 'pure-rand/distribution/uniformFloat32';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {charactersPerToken} from '../../src/protocol/blocks.js';
import {type PromptClass, type Scenario} from './scenario.js';

/** One request of the trace. */
export type PlannedRequest = {
	readonly index: number;
	/** Intended time of sending, in milliseconds since the start. */
	readonly at: number;
	readonly entry: Scenario['entries'][number];
	readonly organisation: Scenario['organisations'][number];
	readonly promptClass: PromptClass;
	readonly promptTokens: number;
	readonly output: number;
	/** Index of the shared prefix, if the prompt has one. */
	readonly prefix: number | undefined;
	/** Idempotency key of a request that is not idempotent. */
	readonly key: string | undefined;
};

/** Returns random numbers from 0 (inclusive) to 1 (exclusive). */
type RandomSource = () => number;

const millisecondsPerSecond = 1000;
const roleCharacters = 'user: \n'.length;
const patternCharacters = 64;
const alphabet = 'abcdefghijklmnopqrstuvwxyz';

/** The generator's first numbers are similar for small seeds. */
const skippedNumbers = 32;

function createSource(seed: number): RandomSource {
	const generator = xoroshiro128plus(seed);
	for (let count = 0; count < skippedNumbers; count++) {
		uniformFloat32(generator);
	}

	return () => uniformFloat32(generator);
}

function pickWeighted<Item extends {readonly weight: number}>(items: readonly Item[], source: RandomSource): Item {
	let total = 0;
	for (const item of items) {
		total += item.weight;
	}

	let remaining = source() * total;
	for (const item of items) {
		remaining -= item.weight;
		if (remaining < 0) {
			return item;
		}
	}

	return items.at(-1)!;
}

function drawUniform({least, most}: {readonly least: number; readonly most: number}, source: RandomSource): number {
	return least + Math.floor(source() * (most - least + 1));
}

function drawLogUniform({least, most}: {readonly least: number; readonly most: number}, source: RandomSource): number {
	return Math.round(least * ((most / least) ** source()));
}

/** Rounds a prompt length to a multiple of the tokens per text token, so that equal prefixes give equal blocks. */
function roundToMultiple(tokens: number, unit: number): number {
	return Math.max(Math.round(tokens / unit), 2) * unit;
}

/**
 * Generates requests with exponentially distributed gaps.
 *
 * @param scenario - Scenario.
 * @returns Requests in order of their intended time.
 */
export function generateTrace(scenario: Scenario): readonly PlannedRequest[] {
	const source = createSource(scenario.seed);
	const planned: PlannedRequest[] = [];
	const gap = () => -Math.log(1 - source()) * millisecondsPerSecond / scenario.rate;
	for (let at = gap(); at < scenario.duration; at += gap()) {
		planned.push(planRequest(scenario, planned.length, at, source));
	}

	return planned;
}

function planRequest(scenario: Scenario, index: number, at: number, source: RandomSource): PlannedRequest {
	const promptClass = pickWeighted(scenario.classes, source);
	const {prefixes} = promptClass;
	const hasPrefix = prefixes !== undefined && source() < prefixes.share;
	return {
		index,
		at,
		entry: scenario.entries[Math.floor(source() * scenario.entries.length)]!,
		organisation: pickWeighted(scenario.organisations, source),
		promptClass,
		promptTokens: roundToMultiple(drawLogUniform(promptClass.prompt, source), scenario.tokensPerTextToken),
		output: drawUniform(promptClass.output, source),
		prefix: hasPrefix ? Math.floor(source() * prefixes.count) : undefined,
		key: source() < scenario.nonIdempotent ? `load-${scenario.seed}-${index}` : undefined,
	};
}

function generateLetters(seed: number, length: number): string {
	const source = createSource(seed);
	let text = '';
	while (text.length < length) {
		let bits = Math.floor(source() * (2 ** 24));
		for (let count = 0; count < 4; count++) {
			text += alphabet[bits % alphabet.length]!;
			bits = Math.floor(bits / alphabet.length);
		}
	}

	return text.slice(0, length);
}

function combineSeeds(seed: number, textSeed: number): number {
	return Math.imul(seed + 1, 7919) + Math.imul(textSeed + 1, 611_953);
}

/** Repeats a pattern up to a length: prompts only need to differ where their own text begins. */
function repeatToLength(pattern: string, length: number): string {
	return pattern.repeat(Math.ceil(length / pattern.length)).slice(0, length);
}

const prefixTexts = new Map<string, string>();

function getPrefixText({promptClass, prefix}: PlannedRequest, {seed, textSeed, tokensPerTextToken}: Scenario): string {
	if (prefix === undefined || promptClass.prefixes === undefined) {
		return '';
	}

	const name = `${seed} ${textSeed} ${promptClass.name} ${prefix}`;
	const characters = Math.floor(promptClass.prefixes.tokens * charactersPerToken / tokensPerTextToken);
	const text = prefixTexts.get(name) ?? generateLetters(combineSeeds(seed, textSeed) + Math.imul(prefix + 1, 104_729), characters);
	prefixTexts.set(name, text);
	return text;
}

/**
 * @param planned - Request.
 * @param scenario - Its scenario.
 * @returns The user's message: the shared prefix, if any, followed by text of its own.
 */
export function buildContent(planned: PlannedRequest, scenario: Scenario): string {
	const characters = (planned.promptTokens * charactersPerToken / scenario.tokensPerTextToken) - roleCharacters;
	const prefix = getPrefixText(planned, scenario).slice(0, Math.max(characters - charactersPerToken, 0));
	const own = generateLetters(combineSeeds(scenario.seed, scenario.textSeed) + Math.imul(planned.index + 1, 15_485_863), patternCharacters);
	return prefix + repeatToLength(own, characters - prefix.length);
}

/**
 * @param trace - Requests.
 * @returns Share of prompt tokens that a single router with one unlimited cache would find cached.
 */
export function computeReusableShare(trace: readonly PlannedRequest[]): number {
	const seen = new Set<string>();
	let reusable = 0;
	let total = 0;
	for (const {promptClass, prefix, promptTokens} of trace) {
		total += promptTokens;
		const name = `${promptClass.name} ${prefix}`;
		if (prefix !== undefined && seen.has(name)) {
			reusable += Math.min(promptClass.prefixes?.tokens ?? 0, promptTokens);
		}

		seen.add(name);
	}

	return total === 0 ? 0 : reusable / total;
}
