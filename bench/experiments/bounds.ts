/** Checks bounds on ratios, which do not depend on the speed of the machine. */
import {z} from 'zod';
import {type Summary} from './summary.js';

const boundSchema = z.object({least: z.number().optional(), most: z.number().optional()}).readonly();

/** By deployment, then by ratio. */
export const boundsSchema = z.record(z.string(), z.record(z.string(), boundSchema));

export type Bounds = z.infer<typeof boundsSchema>;

/**
 * @param summary - Measured ratios.
 * @param bounds - Bounds of all deployments.
 * @returns One line for each ratio that is out of bounds or was not measured.
 */
export function findViolations(summary: Summary, bounds: Bounds): readonly string[] {
	return Object.entries(bounds[summary.deployment] ?? {}).flatMap(([name, {least, most}]) => {
		const value = summary.ratios[name];
		const isWithin = value !== undefined
			&& value >= (least ?? Number.NEGATIVE_INFINITY)
			&& value <= (most ?? Number.POSITIVE_INFINITY);
		return isWithin ? [] : [`${summary.deployment} ${name}: ${value} is outside ${least ?? ''}..${most ?? ''}`];
	});
}
