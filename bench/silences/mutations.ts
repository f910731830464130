/** Mutations of the gateway that each turn off one mechanism, to show that the checks of the runs detect it. */
import {Silences, type SilenceView} from '../../src/core/gateway/health/silences.js';
import {type SuccessionReason} from '../../src/core/gateway/limits/retries.js';
import {type Placement} from '../../src/core/gateway/placement/placement.js';
import {Gateway} from '../../src/gateway/gateway.js';
import {Run} from '../../src/gateway/requests/run.js';

/** Restores the mechanism. */
type Restore = () => void;

export type Mutation = {
	readonly name: string;
	readonly apply: () => Restore;
};

/** Object whose method is replaced. */
type Instance = Gateway | Run | Silences<unknown>;

type Method<Parameters extends readonly unknown[], Result> = (self: Instance, ...parameters: Parameters) => Result;

type Replacement<Parameters extends readonly unknown[], Result> = (original: Method<Parameters, Result>) => Method<Parameters, Result>;

/** Replaces a method of a class; the replacement gets the original one. */
function replace<Parameters extends readonly unknown[], Result>(prototype: Instance, name: string, replacement: Replacement<Parameters, Result>): Restore {
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Each mutation states the type of its method.
	const original = Reflect.get(prototype, name) as (...parameters: Parameters) => Result;
	const replaced = replacement((self, ...parameters) => Reflect.apply(original, self, parameters));
	Reflect.set(prototype, name, function (this: Instance, ...parameters: Parameters): Result {
		return replaced(this, ...parameters);
	});
	return () => {
		Reflect.set(prototype, name, original);
	};
}

/** Parameters of a request for a successor. */
type Succeeding = [SuccessionReason, Placement | undefined];

export const mutations: readonly Mutation[] = [
	{
		name: 'attempts are cancelled before their successor is secured',
		apply: () => replace<Succeeding, boolean>(Run.prototype, 'requestSuccessor', requestSuccessor => (run, reason, placement) => {
			const isSent = requestSuccessor(run, reason, placement);
			if (run instanceof Run) {
				run.cancel(reason);
			}

			return isSent;
		}),
	},
	{
		name: 'bytes are written by attempts that do not lead',
		apply: () => replace(Run.prototype, 'lead', () => () => true),
	},
	{
		name: 'successors are sent without the retry budget',
		apply: () => replace(Gateway.prototype, 'canRetry', () => () => true),
	},
	{
		name: 'a silence of all engines ends with the first that sends',
		apply: () => replace(Silences.prototype, 'isSettled', () => () => true),
	},
	{
		name: 'silent engines count as live',
		apply: () => replace<[string, number], SilenceView>(Silences.prototype, 'view', original => (silences, service, now) => {
			const {silent, live, isCommon} = original(silences, service, now);
			return {silent: new Set(), live: new Set([...silent, ...live]), isCommon};
		}),
	},
	{
		name: 'a silence of all engines is held against each of them',
		apply: () => replace<[string, number], SilenceView>(Silences.prototype, 'view', original => (silences, service, now) => ({
			...original(silences, service, now), isCommon: false,
		})),
	},
	{
		name: 'attempts at silent engines have no successors',
		apply: () => replace(Run.prototype, 'requestSuccessor', () => () => false),
	},
];
