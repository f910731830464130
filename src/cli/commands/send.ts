/** `cranberrytide send`: sends a prompt, or a call to a plain service, and writes the answer as it arrives. */
import {type Command} from 'commander';
import {type Method} from 'got';
import {raise} from '../../core/index.js';
import {callerHeaders} from '../../protocol/callers.js';
import {addHostOptions} from '../fleet.js';
import {readHostAddresses, type HostOptions} from '../hosts.js';
import {readText} from '../input.js';
import {type CommandServices} from '../command-services.js';
import {type Call} from '../sending/call.js';
import {Sender} from '../sending/sender.js';
import {type Terminal} from '../terminal.js';

/** Environment variable that holds the API key. */
const keyVariable = 'CRANBERRYTIDE_KEY';

const methods: readonly Method[] = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE'];

type SendOptions = HostOptions & {
	readonly service: string;
	readonly keyFile?: string;
	readonly idempotent?: boolean;
	readonly once?: boolean;
	readonly idempotencyKey?: string;
	readonly timeout?: number;
	readonly priority?: number;
	readonly maxTokens?: number;
	readonly whole?: boolean;
	readonly path?: string;
	readonly method: string;
};

/**
 * @param program - Program that the command is added to.
 * @param services - Terminal and helpers that all commands share.
 */
export function addSendCommand(program: Command, {terminal, wrapAction, parseWholeNumber}: CommandServices): void {
	addHostOptions(program.command('send'))
		.description('Send a prompt and write the answer as it arrives; an interrupted stream is resumed at the next host.')
		.argument('[file]', 'prompt, - for standard input', '-')
		.requiredOption('--service <name>', 'service that the request is for')
		.option('--key-file <file>', `file with the organisation's API key; default: the value of ${keyVariable}`)
		.option('--idempotent', 'the request may be repeated')
		.option('--once', 'the request may run only once; uses a ticket if the host requires one')
		.option('--idempotency-key <key>', 'idempotency key; requests with the same key run at most once')
		.option('--timeout <ms>', 'time limit of the request, in milliseconds', parseWholeNumber)
		.option('--priority <number>', 'urgency from 0 (most urgent) to 9', parseWholeNumber)
		.option('--max-tokens <number>', 'maximum number of generated tokens', parseWholeNumber)
		.option('--whole', 'request the whole answer at once instead of a stream')
		.option('--path <path>', 'call a plain service at this path, with the file as the body')
		.option('--method <method>', 'HTTP method of a call to a plain service', 'POST')
		.addHelpText('after', `
Examples:
  echo 'Check this paragraph.' | ${keyVariable}=secret cranberrytide send --service check --hosts 10.0.0.1:8080,10.0.0.2:8080
  cranberrytide send booking.json --service portal --path /bookings --once --key-file key --hosts 10.0.0.1:8080`)
		.action(wrapAction(async (file: string, options: SendOptions) => send(terminal, file, options)));
}

async function send(terminal: Terminal, file: string, options: SendOptions): Promise<number> {
	const hosts = await readHostAddresses(terminal, options, 'callers');
	const key = await readKey(terminal, options);
	const headers = createHeaders(options, key);
	const call = options.path === undefined
		? createChatCall(await readText(terminal, file), options, headers)
		: await createPlainCall(terminal, file, options, headers);
	const isRepeatable = options.idempotent === true || options.idempotencyKey !== undefined;
	return new Sender(terminal, hosts, call, isRepeatable).send();
}

async function readKey(terminal: Terminal, {keyFile}: SendOptions): Promise<string> {
	const key = keyFile === undefined ? terminal.environment[keyVariable] : await readText(terminal, keyFile);
	return key?.trim() ?? raise('badArgument', `No API key: pass --key-file or set ${keyVariable}.`);
}

function createHeaders(options: SendOptions, key: string): Readonly<Record<string, string>> {
	if (options.idempotent === true && options.once === true) {
		return raise('badArgument', 'Options --idempotent and --once exclude each other.');
	}

	return {
		authorization: `Bearer ${key}`,
		...(options.idempotent === true && {[callerHeaders.idempotent]: 'true'}),
		...(options.once === true && {[callerHeaders.idempotent]: 'false'}),
		...(options.idempotencyKey !== undefined && {[callerHeaders.key]: options.idempotencyKey}),
		...(options.timeout !== undefined && {[callerHeaders.timeout]: String(options.timeout)}),
		...(options.priority !== undefined && {[callerHeaders.priority]: String(options.priority)}),
	};
}

function createChatCall(prompt: string, options: SendOptions, headers: Readonly<Record<string, string>>): Call {
	return {
		method: 'POST',
		path: '/v1/chat/completions',
		headers: {...headers, 'content-type': 'application/json'},
		body: JSON.stringify({
			model: options.service,
			messages: [{role: 'user', content: prompt}],
			stream: options.whole !== true,
			...(options.maxTokens !== undefined && {max_tokens: options.maxTokens}),
		}),
	};
}

async function createPlainCall(terminal: Terminal, file: string, options: SendOptions, headers: Readonly<Record<string, string>>): Promise<Call> {
	const method = methods.find(each => each === options.method.toUpperCase())
		?? raise('badArgument', `Unsupported method "${options.method}"; use one of ${methods.join(', ')}.`);
	const path = options.path!.startsWith('/') ? options.path! : `/${options.path!}`;
	return {
		method,
		path: `/v1/services/${encodeURIComponent(options.service)}${path}`,
		headers: method === 'GET' ? headers : {...headers, 'content-type': 'application/json'},
		...(method !== 'GET' && {body: await readText(terminal, file)}),
	};
}
