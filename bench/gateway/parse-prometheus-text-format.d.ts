/** Types for the part of the parser that tests use; the package ships none. */
declare module 'parse-prometheus-text-format' {
	export type Family = {
		readonly name: string;
		readonly type: string;
		readonly metrics: ReadonlyArray<{readonly value?: string; readonly labels?: Readonly<Record<string, string>>; readonly buckets?: Readonly<Record<string, string>>}>;
	};

	export default function parse(text: string): readonly Family[];
}
