/** Logs the convictions that come and go. */
import {type Conviction} from '../../core/gateway/suspicion/suspects.js';
import {type Log} from '../../entry/logs.js';

function keyOf({service, version, causes}: Conviction): string {
	return `${service} ${version ?? '*'} ${causes.join(' ')}`;
}

export class ConvictionLog {
	readonly #log: Pick<Log, 'write'>;
	/** Convictions in force as of the last update, by key. */
	#known = new Map<string, Conviction>();

	/**
	 * @param log - Log.
	 */
	constructor(log: Pick<Log, 'write'>) {
		this.#log = log;
	}

	/**
	 * @param convictions - Convictions in force.
	 * @param onConvicted - Called with each new one; returns the number of attempts that were cancelled for it.
	 */
	update(convictions: readonly Conviction[], onConvicted: (conviction: Conviction) => number): void {
		const current = new Map(convictions.map(conviction => [keyOf(conviction), conviction]));
		for (const [key, conviction] of current) {
			if (!this.#known.has(key)) {
				const {service, version, causes, basis} = conviction;
				this.#log.write({
					event: 'convicted',
					service,
					version,
					causes,
					basis: basis.type,
					crashes: basis.type === 'crashes' ? basis.crashes.map(({upstream}) => upstream) : undefined,
					cancelled: onConvicted(conviction),
				}, 'warn');
			}
		}

		for (const [key, {service, version, causes}] of this.#known) {
			if (!current.has(key)) {
				this.#log.write({
					event: 'conviction-ended', service, version, causes,
				});
			}
		}

		this.#known = current;
	}
}
