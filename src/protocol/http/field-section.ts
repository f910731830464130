/** Validates the fields of a head or a trailer section, byte by byte (RFC 9112, sections 5 and 7.1.2). */
import {
	carriageReturn, colon, describeByte, isTextByte, isTokenByte, lineFeed, space, tab,
} from './bytes.js';

const framingNames = ['connection', 'content-length', 'transfer-encoding'] as const;

/** Name of a field that decides where a message or its connection ends. */
export type FramingName = typeof framingNames[number];

const longestFramingName = Math.max(...framingNames.map(name => name.length));

function isFramingName(name: string): name is FramingName {
	return (framingNames as readonly string[]).includes(name);
}

export class FieldSection {
	readonly #framing = new Map<FramingName, readonly string[]>();
	#state: 'line' | 'name' | 'value' | 'line feed' | 'last line feed' | 'complete' = 'line';
	/** Name of the present field in lower case; cut off where it is longer than those that decide. */
	#name = '';
	/** Value of the present field, if it decides. */
	#value = '';
	#framingName: FramingName | undefined;

	get isComplete(): boolean {
		return this.#state === 'complete';
	}

	/**
	 * @param name - Name of a field that decides where a message ends.
	 * @returns Its values, one for each line.
	 */
	listValues(name: FramingName): readonly string[] {
		return this.#framing.get(name) ?? [];
	}

	/**
	 * @param byte - Next byte.
	 * @returns Why it can't follow; undefined if it can.
	 */
	accept(byte: number): string | undefined {
		switch (this.#state) {
			case 'line': {
				return this.#beginLine(byte);
			}

			case 'name': {
				if (byte !== colon) {
					return this.#acceptName(byte);
				}

				this.#beginValue();
				return undefined;
			}

			case 'value': {
				return this.#acceptValue(byte);
			}

			case 'line feed': {
				this.#state = 'line';
				return this.#acceptLineFeed(byte);
			}

			case 'last line feed':
			case 'complete': {
				this.#state = 'complete';
				return this.#acceptLineFeed(byte);
			}
		}
	}

	#beginLine(byte: number): string | undefined {
		if (byte === carriageReturn) {
			this.#state = 'last line feed';
			return undefined;
		}

		if (byte === space || byte === tab) {
			return 'a folded line';
		}

		this.#state = 'name';
		this.#name = '';
		return byte === colon ? 'a field without a name' : this.#acceptName(byte);
	}

	#acceptName(byte: number): string | undefined {
		if (!isTokenByte(byte)) {
			return `${describeByte(byte)} in the name of a field`;
		}

		if (this.#name.length <= longestFramingName) {
			this.#name += String.fromCodePoint(byte).toLowerCase();
		}

		return undefined;
	}

	#beginValue(): void {
		this.#state = 'value';
		this.#value = '';
		this.#framingName = isFramingName(this.#name) ? this.#name : undefined;
	}

	#acceptValue(byte: number): string | undefined {
		if (byte === carriageReturn) {
			this.#state = 'line feed';
			this.#endValue();
			return undefined;
		}

		if (!isTextByte(byte)) {
			return `${describeByte(byte)} in the value of a field`;
		}

		if (this.#framingName !== undefined) {
			this.#value += String.fromCodePoint(byte);
		}

		return undefined;
	}

	#endValue(): void {
		if (this.#framingName !== undefined) {
			this.#framing.set(this.#framingName, [...this.listValues(this.#framingName), this.#value.trim()]);
		}
	}

	#acceptLineFeed(byte: number): string | undefined {
		return byte === lineFeed ? undefined : `${describeByte(byte)} after a carriage return`;
	}
}
