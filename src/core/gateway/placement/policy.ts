/** Parameters of placement, refusal and rerouting. Simulations disable single mechanisms to show their effect. */

/** Losses are in requests of usual weight unless stated otherwise. */
export type Policy = {
	/** Maximum number of engines that share a prompt. */
	readonly maxParts: number;
	/** Loss when a stream that needs short pauses is sent to an engine that serves none yet: long prompts then have one engine fewer. */
	readonly openingLoss: number;
	/** Loss at an upstream in another failure domain: the link may be cut. */
	readonly distanceLoss: number;
	/**
	 * Largest difference in the loss at an upstream between two hosts. Without it, hosts that do not know of each other's latest choices
	 * would all choose the same idle engine. A larger value costs more by worse choices under load than it gains.
	 */
	readonly spreadingLoss: number;
	/** Loss per millisecond of waiting, to prefer the engine that is free first among those where no other job is delayed. */
	readonly waitLossPerMs: number;
	/** Whether requests whose expected loss exceeds their weight are refused. */
	readonly isRefusalEnabled: boolean;
	/** Whether the later of two requests at the same engine is rerouted. */
	readonly isYieldingEnabled: boolean;
};

/** Policy of the hosts. */
export const defaultPolicy: Policy = {
	maxParts: 16,
	openingLoss: 0.08,
	distanceLoss: 0.01,
	spreadingLoss: 0.1,
	waitLossPerMs: 0.0001,
	isRefusalEnabled: true,
	isYieldingEnabled: true,
};

/** Changes to the policy that disable one mechanism. */
const ablations = {
	sharing: {maxParts: 1},
	opening: {openingLoss: 0},
	distance: {distanceLoss: 0},
	taste: {spreadingLoss: 0},
	waiting: {waitLossPerMs: 0},
	refusal: {isRefusalEnabled: false},
	yielding: {isYieldingEnabled: false},
} as const satisfies Record<string, Partial<Policy>>;

export type Mechanism = keyof typeof ablations;

/** Names of the mechanisms that can be disabled. */
export const mechanisms: readonly string[] = Object.keys(ablations);

/**
 * @param name - Possible name of a mechanism.
 * @returns Whether there is such a mechanism.
 */
export function isMechanism(name: string): name is Mechanism {
	return Object.hasOwn(ablations, name);
}

/**
 * @param policy - Policy.
 * @param without - Mechanisms to disable.
 * @returns The policy with these mechanisms disabled.
 */
export function policyWithout(policy: Policy, without: readonly Mechanism[]): Policy {
	let ablated = policy;
	for (const name of without) {
		ablated = {...ablated, ...ablations[name]};
	}

	return ablated;
}
