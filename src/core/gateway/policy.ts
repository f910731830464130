/** What decides where requests go and which are refused, as one value: an experiment plays it without one mechanism or another. */

/** Losses are shares of a usual request's worth unless said otherwise. */
export type Policy = {
	/** Most engines that share a prompt. */
	readonly maxParts: number;
	/** Lost by whoever finds an idle engine no more. */
	readonly openingLoss: number;
	/** What an upstream in another failure domain costs: the link may be cut. */
	readonly distanceLoss: number;
	/**
	 * Most that an upstream costs one host more than another: hosts that have not heard of each other's latest choices would all
	 * take the same idle engine. More than this wins less from it than it loses by worse choices under load.
	 */
	readonly spreadingLoss: number;
	/** What a millisecond of waiting counts among engines that disturb nobody: enough to prefer the one that is free first. */
	readonly waitLossPerMs: number;
	/** Whether requests that cost others more than they are worth are refused. */
	readonly isRefusalEnabled: boolean;
	/** Whether the later of two requests that met at an engine goes elsewhere. */
	readonly yields: boolean;
};

/** What hosts follow. */
export const usualPolicy: Policy = {
	maxParts: 16,
	openingLoss: 0.08,
	distanceLoss: 0.01,
	spreadingLoss: 0.1,
	waitLossPerMs: 0.0001,
	isRefusalEnabled: true,
	yields: true,
};

/** How the policy is without one mechanism. */
const ablations = {
	sharing: {maxParts: 1},
	opening: {openingLoss: 0},
	distance: {distanceLoss: 0},
	taste: {spreadingLoss: 0},
	waiting: {waitLossPerMs: 0},
	refusal: {isRefusalEnabled: false},
	yielding: {yields: false},
} as const satisfies Record<string, Partial<Policy>>;

export type Mechanism = keyof typeof ablations;

/** Mechanisms that a policy can be played without. */
export const mechanisms: readonly string[] = Object.keys(ablations);

/**
 * @param name - Text.
 * @returns Whether it names a mechanism.
 */
export function isMechanism(name: string): name is Mechanism {
	return Object.hasOwn(ablations, name);
}

/**
 * @param policy - Policy.
 * @param without - Mechanisms that it is to lack.
 * @returns The policy without them.
 */
export function policyWithout(policy: Policy, without: readonly Mechanism[]): Policy {
	let ablated = policy;
	for (const name of without) {
		ablated = {...ablated, ...ablations[name]};
	}

	return ablated;
}
