/** Priority of an organisation relative to that of its route, in ranks: while a service is full, it moves requests forward or back. */

/**
 * Largest number of ranks by which a request is moved: ranks of prompts differ by up to three, and an organisation alone must not move the
 * longest prompts ahead of the shortest.
 */
export const maxPriorityShift = 2;

/**
 * @param organisation - Priority of an organisation, 0 is first; undefined if it has none of its own.
 * @param route - Priority of the route of its request.
 * @returns The difference; negative for a better priority, undefined for none.
 */
export function compareWithRoute(organisation: number | undefined, route: number): number | undefined {
	return organisation === undefined || organisation === route ? undefined : organisation - route;
}

/**
 * @param difference - Priority of an organisation relative to that of its route; undefined if they don't differ.
 * @returns Whole ranks by which its request is moved: negative is forward.
 */
export function toPriorityShift(difference: number | undefined): number {
	return Math.min(Math.max(Math.round(difference ?? 0), -maxPriorityShift), maxPriorityShift);
}
