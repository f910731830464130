/** Published documents, and which of them readers see. */

export type Publication = {
	readonly text: string;
	readonly revision: number;
};

type View
	= | {readonly type: 'fresh'}
		| {readonly type: 'stale'; readonly publications: number}
		| {readonly type: 'alternate'; readonly publications: number};

const maxPublications = 20;

export class Documents {
	#publications: readonly Publication[] = [];
	#view: View = {type: 'fresh'};
	#readCount = 0;

	/** Adds a document, which becomes the newest. */
	publish(publication: Publication): void {
		this.#publications = [...this.#publications, publication].slice(-maxPublications);
	}

	setView(view: View): void {
		this.#view = view;
	}

	/**
	 * @param above - Revision that the reader has.
	 * @returns The document visible to this read, if its revision is above.
	 */
	findNewer(above: number): Publication | undefined {
		const visible = this.#getVisible();
		return visible !== undefined && visible.revision > above ? visible : undefined;
	}

	/** Counts a read, so that the `alternate` view switches documents with each read. */
	countRead(): void {
		this.#readCount++;
	}

	#getVisible(): Publication | undefined {
		const isStale = this.#view.type === 'stale' || (this.#view.type === 'alternate' && this.#readCount % 2 === 1);
		const age = isStale && this.#view.type !== 'fresh' ? this.#view.publications : 0;
		return this.#publications.at(Math.max(-1 - age, -this.#publications.length));
	}
}
