/** Speaks for causes of other hosts' crashes that this host has answered before, or begun to answer, unless another host does so first. */
import {formatScope, type Cause, type Scope} from '../../core/gateway/suspicion/causes.js';
import {type Suspects} from '../../core/gateway/suspicion/suspects.js';
import {maxPieces, type Evidence} from './evidence.js';

export type DefencesOptions = {
	readonly suspects: Pick<Suspects, 'findAnswer' | 'findBeginning'>;
	/** Returns the milliseconds to wait for other hosts. */
	readonly computeDelay: () => number;
	readonly send: (evidence: readonly Evidence[]) => void;
};

export class Defences implements Disposable {
	readonly #options: DefencesOptions;
	/** Causes for which this host is about to speak, by scope. */
	readonly #pending = new Map<string, {readonly scope: Scope; readonly causes: Set<Cause>}>();
	#timer: NodeJS.Timeout | undefined;

	constructor(options: DefencesOptions) {
		this.#options = options;
	}

	/**
	 * @param scope - Engines that crashed.
	 * @param causes - Causes of an attempt that ended with the crash.
	 */
	add(scope: Scope, causes: readonly Cause[]): void {
		const {suspects} = this.#options;
		const known = causes.filter(cause => suspects.findAnswer(scope, cause) !== undefined || suspects.findBeginning(scope, cause) !== undefined);
		if (known.length === 0) {
			return;
		}

		const key = formatScope(scope);
		const {causes: pending} = this.#pending.get(key) ?? {causes: new Set<Cause>()};
		this.#pending.set(key, {scope, causes: new Set([...pending, ...known])});
		this.#timer ??= setTimeout(() => {
			this.#send();
		}, this.#options.computeDelay());
	}

	/**
	 * @param scope - Engines.
	 * @param causes - Causes for which another host has spoken.
	 */
	withdraw(scope: Scope, causes: readonly Cause[]): void {
		const pending = this.#pending.get(formatScope(scope));
		for (const cause of causes) {
			pending?.causes.delete(cause);
		}
	}

	[Symbol.dispose](): void {
		clearTimeout(this.#timer);
	}

	#send(): void {
		this.#timer = undefined;
		const evidence: Evidence[] = [];
		for (const {scope, causes} of this.#pending.values()) {
			for (const cause of causes) {
				const answer = this.#options.suspects.findAnswer(scope, cause);
				const at = answer ?? this.#options.suspects.findBeginning(scope, cause);
				if (at !== undefined) {
					evidence.push({
						type: answer === undefined ? 'beginnings' : 'answers', scope, causes: [cause], at,
					});
				}
			}
		}

		this.#pending.clear();
		if (evidence.length > 0) {
			this.#options.send(evidence.slice(0, maxPieces));
		}
	}
}
