/** Which failure domains the operator has evacuated, as of the position of the registry that the set is part of. */

/** Most domains that may be evacuated at a time; far above the number of domains of any deployment. */
export const maxEvacuatedDomains = 512;

/**
 * Set of evacuated failure domains. When the store returns from a backup, an order that the backup lacks is retained for the time in
 * which the operator writes it again.
 */
export class Evacuations {
	#ordered = new Set<string>();
	/** Domains whose orders were known before the store's return from a backup and are missing there; none of them is ordered. */
	readonly #retained = new Set<string>();

	/** Domains whose orders the store has. */
	get ordered(): readonly string[] {
		return [...this.#ordered];
	}

	/** All evacuated domains, including those whose orders are only retained. */
	get all(): readonly string[] {
		return [...this.#ordered, ...this.#retained];
	}

	/** Whether orders are retained. */
	get hasRetained(): boolean {
		return this.#retained.size > 0;
	}

	/**
	 * @param domain - Failure domain.
	 * @returns Whether it is evacuated.
	 */
	has(domain: string): boolean {
		return this.#ordered.has(domain) || this.#retained.has(domain);
	}

	/**
	 * Adds an order. Ignored beyond the largest number of domains.
	 *
	 * @param domain - Failure domain.
	 * @returns Whether the orders have changed.
	 */
	order(domain: string): boolean {
		if (this.#ordered.has(domain) || this.#ordered.size >= maxEvacuatedDomains) {
			return false;
		}

		this.#ordered.add(domain);
		this.#retained.delete(domain);
		return true;
	}

	/**
	 * Removes an order.
	 *
	 * @param domain - Failure domain.
	 * @returns Whether the orders have changed.
	 */
	revoke(domain: string): boolean {
		this.#retained.delete(domain);
		return this.#ordered.delete(domain);
	}

	/**
	 * Replaces the orders by those of a listing.
	 *
	 * @param domains - Failure domains; those beyond the largest number are ignored.
	 * @param isFromBackup - Whether the store has returned from a backup since the last listing.
	 */
	replace(domains: readonly string[], isFromBackup: boolean): void {
		const previous = this.#ordered;
		this.#ordered = new Set(domains.slice(0, maxEvacuatedDomains));
		for (const domain of isFromBackup ? previous : []) {
			if (this.#retained.size < maxEvacuatedDomains) {
				this.#retained.add(domain);
			}
		}

		for (const domain of this.#ordered) {
			this.#retained.delete(domain);
		}
	}

	/** Ends the evacuations whose orders were not written again after the store's return from a backup. */
	endRetained(): void {
		this.#retained.clear();
	}
}
