/** Logs which failure domains are evacuated, and ends evacuations whose orders were lost when the store returned from a backup. */
import {maxEvacuatedDomains} from '../../core/gateway/registry/evacuations.js';
import {type Registry} from '../../core/gateway/registry/registry.js';
import {type Log} from '../../entry/logs.js';
import {describeSource, type RegistrationSource, type Upstreams} from './upstreams.js';

export type EvacuationReporterOptions = {
	readonly registry: Registry;
	readonly upstreams: Pick<Upstreams, 'all'>;
	readonly log: Pick<Log, 'write'>;
	/** Called when the evacuation of a failure domain has ended. */
	readonly onEnded?: (domain: string) => void;
};

export class EvacuationReporter implements Disposable {
	readonly #options: EvacuationReporterOptions;
	/** Evacuated domains as of the last report. */
	#reported: ReadonlySet<string> = new Set();
	#timer: NodeJS.Timeout | undefined;

	/**
	 * @param options - Registry whose evacuations are reported, and log.
	 */
	constructor(options: EvacuationReporterOptions) {
		this.#options = options;
	}

	/**
	 * Logs what has changed since the last call.
	 *
	 * @param source - Where the state of the registry comes from.
	 * @param retention - Milliseconds for which evacuations stay in effect whose orders are missing from a backup of the store.
	 */
	update(source: RegistrationSource, retention: number): void {
		const {registry} = this.#options;
		clearTimeout(this.#timer);
		if (registry.hasRetainedEvacuations && retention <= 0) {
			registry.endRetainedEvacuations();
		} else if (registry.hasRetainedEvacuations) {
			this.#timer = setTimeout(() => {
				this.update(source, 0);
			}, retention);
		}

		this.#report(source);
	}

	/**
	 * Logs orders that have no effect because too many domains are evacuated.
	 *
	 * @param domains - Failure domains that orders name.
	 */
	reportExcess(domains: readonly string[]): void {
		const {registry, log} = this.#options;
		const refused = registry.evacuated.length < maxEvacuatedDomains ? [] : domains.filter(domain => !registry.isEvacuated(domain));
		if (refused.length > 0) {
			log.write({
				event: 'evacuation-refused', domain: refused[0], count: refused.length, detail: `more than ${maxEvacuatedDomains} failure domains are evacuated`,
			}, 'error');
		}
	}

	[Symbol.dispose](): void {
		clearTimeout(this.#timer);
	}

	#report(source: RegistrationSource): void {
		const {registry, log, onEnded} = this.#options;
		const evacuated = new Set(registry.evacuated);
		const previous = this.#reported;
		this.#reported = evacuated;
		for (const domain of evacuated) {
			if (!previous.has(domain)) {
				this.#logBegin(domain, source);
			}
		}

		for (const domain of previous) {
			if (!evacuated.has(domain)) {
				log.write({event: 'domain-evacuation-ended', domain, ...describeSource(source)});
				onEnded?.(domain);
			}
		}
	}

	#logBegin(domain: string, source: RegistrationSource): void {
		const upstreams = this.#options.upstreams.all.filter(each => each.failureDomain === domain).length;
		this.#options.log.write({
			event: 'domain-evacuated', domain, upstreams, ...describeSource(source), ...(upstreams === 0 && {detail: 'no upstream is registered in this failure domain'}),
		}, 'warn');
	}
}
