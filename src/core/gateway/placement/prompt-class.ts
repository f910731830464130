/** Divides prompts into short and long ones by whether their prefill disrupts other requests at the engine. */
import {estimatePrefill} from '../engines/engine.js';
import {type EngineModel} from '../types.js';
import {disruptivePrefillMs} from './rerouting.js';

export type PromptClass = 'long' | 'short';

/**
 * @param model - Engine.
 * @param tokens - Length of a prompt.
 * @returns `long` if its prefill at one engine disrupts the streams there.
 */
export function classifyPrompt(model: EngineModel, tokens: number): PromptClass {
	return estimatePrefill(model, tokens).perIteration >= disruptivePrefillMs ? 'long' : 'short';
}
