/** Published documents and which of them readers are shown. */

export type Publication = {
	readonly text: string;
	readonly revision: number;
};

type View
	= | {readonly type: 'fresh'}
		| {readonly type: 'stale'; readonly publications: number}
		| {readonly type: 'alternate'; readonly publications: number};

const mostKept = 20;

export class Documents {
	#publications: readonly Publication[] = [];
	#view: View = {type: 'fresh'};
	#reads = 0;

	/**
	 * @param publication - Document that is the newest from now on.
	 */
	publish(publication: Publication): void {
		this.#publications = [...this.#publications, publication].slice(-mostKept);
	}

	show(view: View): void {
		this.#view = view;
	}

	/**
	 * @param above - Revision that the reader has.
	 * @returns The document shown to this read, if it has another revision above it.
	 */
	read(above: number): Publication | undefined {
		const shown = this.#shown();
		return shown !== undefined && shown.revision > above ? shown : undefined;
	}

	/** Counts a read, so that documents alternate from read to read. */
	turn(): void {
		this.#reads++;
	}

	#shown(): Publication | undefined {
		const isStale = this.#view.type === 'stale' || (this.#view.type === 'alternate' && this.#reads % 2 === 1);
		const back = isStale && this.#view.type !== 'fresh' ? this.#view.publications : 0;
		return this.#publications.at(Math.max(-1 - back, -this.#publications.length));
	}
}
