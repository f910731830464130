/** Headers that concern one connection only (RFC 9110, section 7.6.1), in lower case: whoever passes a message on drops them. */
export const perConnectionHeaders: ReadonlySet<string> = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
]);
