/** Result codes, their texts, and the error that carries them. */

/**
 * Result codes. 0 done, 1xxx the caller's input, 2xxx not run, 3xxx failed, 4xxx outcome unknown,
 * 5xxx configuration, 6xxx settings and startup, 7xxx operator tools, 8xxx peers and upstream orders, 9xxx internal errors.
 */
export const codes = {
	done: 0,
	badBody: 1001,
	unknownKey: 1002,
	bodyTooLarge: 1003,
	unknownService: 1004,
	badHeader: 1005,
	ticketRequired: 1006,
	badTicket: 1007,
	expiredTicket: 1008,
	keyReused: 1009,
	badPosition: 1010,
	promptTooLong: 1011,
	unknownPath: 1012,
	unknownRoute: 1013,
	missingId: 1014,
	overloaded: 2001,
	deadlineUnreachable: 2002,
	organisationLimit: 2003,
	leaving: 2004,
	noUpstream: 2005,
	notConfigured: 2006,
	convicted: 2007,
	sealed: 2008,
	refusedByUpstream: 2009,
	notConnected: 2010,
	deadlineBeforeStart: 2011,
	servedElsewhere: 2012,
	abandoned: 2013,
	upstreamFailed: 3001,
	deadlinePassed: 3002,
	streamCut: 3003,
	frameMismatch: 3004,
	callerGone: 3005,
	callerTooSlow: 3006,
	answerNotKept: 3007,
	outcomeUnknown: 4001,
	keeperGone: 4002,
	keeperUnreachable: 4003,
	convictedAfterRun: 4004,
	badDocument: 5001,
	staleRevision: 5002,
	sameRevisionOtherContent: 5003,
	documentTooLarge: 5004,
	brokenReference: 5005,
	impossibleLimit: 5006,
	dangerousChange: 5007,
	duplicateEntry: 5008,
	badRegistration: 5009,
	badEvacuation: 5010,
	badSettings: 6001,
	unreadableSettings: 6002,
	portInUse: 6003,
	unreadableFile: 7001,
	unreachableHost: 7002,
	badArgument: 7003,
	differs: 7004,
	refusedByHost: 7005,
	unknownRequest: 7006,
	crossSite: 7007,
	badForm: 7008,
	baseNotInForce: 7009,
	badPeerMessage: 8001,
	orderRefused: 8002,
	storeUnavailable: 8003,
	storeUnreadable: 8004,
	foreignHost: 8005,
	internal: 9001,
} as const;

export type CodeName = keyof typeof codes;
export type Code = (typeof codes)[CodeName];

/** Text of each code, shown to callers and operators. */
export const texts = {
	done: 'Done.',
	badBody: 'The body is not valid for this service.',
	unknownKey: 'The API key belongs to no organisation.',
	bodyTooLarge: 'The body is larger than this host takes.',
	unknownService: 'The configuration has no such service.',
	badHeader: 'A header is not valid.',
	ticketRequired: 'The request may run only once and needs a ticket; the answer brings one.',
	badTicket: 'The ticket is not one of ours or not this organisation\'s.',
	expiredTicket: 'The ticket has expired.',
	keyReused: 'The idempotency key was used for another request.',
	badPosition: 'The stream position is not one of ours.',
	promptTooLong: 'The prompt is longer than the service\'s engines hold together.',
	unknownPath: 'There is nothing at this path.',
	unknownRoute: 'No route leads from this host name and path.',
	missingId: 'The request has no id.',
	overloaded: 'The service has more work than it can take.',
	deadlineUnreachable: 'The request could not finish within its time.',
	organisationLimit: 'The organisation is at its limit.',
	leaving: 'This host is leaving and takes no new work.',
	noUpstream: 'No upstream of the service can take the request.',
	notConfigured: 'This host has no configuration yet.',
	convicted: 'The request, or a part of its prompt, has crashed upstreams, and it is not run.',
	sealed: 'The request was sealed before it ran and never will run.',
	refusedByUpstream: 'The upstream refused the request before running it.',
	notConnected: 'No connection to the upstream could be made.',
	deadlineBeforeStart: 'The time was over before the request was sent.',
	servedElsewhere: 'The service is served by the old endpoint.',
	abandoned: 'The caller left before the request was sent.',
	upstreamFailed: 'The upstream failed while running the request.',
	deadlinePassed: 'The time was over while the request ran.',
	streamCut: 'The answer stopped before its end.',
	frameMismatch: 'The upstream\'s answer did not belong to this request.',
	callerGone: 'The caller left while the request ran.',
	callerTooSlow: 'The caller did not take the answer in time.',
	answerNotKept: 'The request is done, but its answer is no longer held.',
	outcomeUnknown: 'The request may have run.',
	keeperGone: 'The host that keeps the ticket is gone; the request may have run.',
	keeperUnreachable: 'The host that keeps the ticket cannot be reached; the request may have run.',
	convictedAfterRun: 'The upstream crashed while it ran the request, which is not run again as it, or a part of its prompt, has crashed others.',
	badDocument: 'The configuration document is not valid.',
	staleRevision: 'A higher revision is in force.',
	sameRevisionOtherContent: 'Another document with the same revision is in force.',
	documentTooLarge: 'The configuration document is larger than a megabyte.',
	brokenReference: 'The document refers to something it does not have.',
	impossibleLimit: 'The document has a limit that cannot be met.',
	dangerousChange: 'The change is valid but dangerous.',
	duplicateEntry: 'The document names the same thing twice.',
	badRegistration: 'The registration of an upstream cannot be read.',
	badEvacuation: 'The order to evacuate a failure domain cannot be read.',
	badSettings: 'A setting is not valid.',
	unreadableSettings: 'The settings file cannot be read.',
	portInUse: 'The port is in use.',
	unreadableFile: 'The file cannot be read.',
	unreachableHost: 'The host cannot be reached.',
	badArgument: 'An argument is not valid.',
	differs: 'The documents differ.',
	refusedByHost: 'The host refused the operator\'s request.',
	unknownRequest: 'No decision about the request was found.',
	crossSite: 'The form was not sent from the console itself.',
	badForm: 'The form is not valid.',
	baseNotInForce: 'The draft starts from a document that is no longer in force.',
	badPeerMessage: 'A peer sent a message that is not valid.',
	orderRefused: 'The engine refused an order.',
	storeUnavailable: 'The platform\'s store does not serve this host now.',
	storeUnreadable: 'The platform\'s store sent something that cannot be read.',
	foreignHost: 'The host belongs to another fleet.',
	internal: 'An internal error.',
} satisfies Readonly<Record<CodeName, string>>;

const codeNames = Object.keys(codes).filter(name => isCodeName(name));

/**
 * @param name - Any text.
 * @returns Whether it is the name of a result code.
 */
export function isCodeName(name: string): name is CodeName {
	return Object.hasOwn(codes, name);
}

/** An error with a result code. */
export class Failure extends Error {
	override readonly name = 'Failure';
	readonly #code: Code;
	readonly #detail: string | undefined;

	constructor(code: CodeName, detail?: string) {
		super(detail === undefined ? texts[code] : `${texts[code]} ${detail}`);
		this.#code = codes[code];
		this.#detail = detail;
	}

	get code(): Code {
		return this.#code;
	}

	get detail(): string | undefined {
		return this.#detail;
	}
}

/**
 * Throws a {@link Failure}.
 *
 * @param code - Name of the result code.
 * @param detail - Details, for people.
 * @returns Never.
 */
export function raise(code: CodeName, detail?: string): never {
	throw new Failure(code, detail);
}

/**
 * @param error - Any thrown value.
 * @returns Whether it carries a result code.
 */
export function isFailure(error: unknown): error is Failure {
	return error instanceof Failure;
}

/**
 * @param error - Any thrown value.
 * @returns Its message, for people.
 */
export function messageOf(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}

/**
 * @param code - Result code.
 * @returns Its name; `internal` for a number that is no result code.
 */
export function nameOfCode(code: number): CodeName {
	for (const name of codeNames) {
		if (codes[name] === code) {
			return name;
		}
	}

	return 'internal';
}
