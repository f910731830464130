/** Headers that apply to a single connection (RFC 9110, section 7.6.1), in lower case. Intermediaries remove them when forwarding. */
export const hopByHopHeaders: ReadonlySet<string> = new Set([
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
