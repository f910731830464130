/** `cranberrytide send`: sends a prompt, or a call to a plain service, and writes the answer as it comes. */
import {type Command} from 'commander';
import {type Method} from 'got';
import {raise} from '../../core/index.js';
import {callerHeaders} from '../../protocol/callers.js';
import {addHostOptions} from '../fleet.js';
import {readHosts, type HostSource} from '../hosts.js';
import {readText} from '../input.js';
import {type Registration} from '../registration.js';
import {type Call} from '../sending/call.js';
import {Sender} from '../sending/sender.js';
import {type Terminal} from '../terminal.js';

/** Environment variable that holds the API key. */
const keyVariable = 'CRANBERRYTIDE_KEY';

const methods: readonly Method[] = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE'];

type Choices = HostSource & {
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
 * @param program - Command that it belongs to.
 * @param registration - Runs its action.
 */
export function addSend(program: Command, {terminal, act, wholeNumber}: Registration): void {
	addHostOptions(program.command('send'))
		.description('Send a prompt and write the answer as it comes; a stream that is cut is resumed at the next host.')
		.argument('[file]', 'prompt, - for standard input', '-')
		.requiredOption('--service <name>', 'service that answers')
		.option('--key-file <file>', `file with the organisation's API key; otherwise ${keyVariable} holds it`)
		.option('--idempotent', 'the request may be repeated')
		.option('--once', 'the request may run only once; a ticket is taken if the host asks for one')
		.option('--idempotency-key <key>', 'key under which the request runs at most once')
		.option('--timeout <ms>', 'time that the request may take, in milliseconds', wholeNumber)
		.option('--priority <number>', 'urgency from 0 to 9, 0 first', wholeNumber)
		.option('--max-tokens <number>', 'the most tokens that are written', wholeNumber)
		.option('--whole', 'take the answer at once instead of as a stream')
		.option('--path <path>', 'call a plain service at this path; the file is the body')
		.option('--method <method>', 'method of a call to a plain service', 'POST')
		.addHelpText('after', `
Examples:
  echo 'Check this paragraph.' | ${keyVariable}=secret cranberrytide send --service check --hosts 10.0.0.1:8080,10.0.0.2:8080
  cranberrytide send booking.json --service portal --path /bookings --once --key-file key --hosts 10.0.0.1:8080`)
		.action(act(async (file: string, choices: Choices) => send(terminal, file, choices)));
}

async function send(terminal: Terminal, file: string, choices: Choices): Promise<number> {
	const hosts = await readHosts(terminal, choices, 'callers');
	const key = await readKey(terminal, choices);
	const headers = headersOf(choices, key);
	const call = choices.path === undefined
		? chatCall(await readText(terminal, file), choices, headers)
		: await plainCall(terminal, file, choices, headers);
	const mayRepeat = choices.idempotent === true || choices.idempotencyKey !== undefined;
	return new Sender(terminal, hosts, call, mayRepeat).send();
}

async function readKey(terminal: Terminal, {keyFile}: Choices): Promise<string> {
	const key = keyFile === undefined ? terminal.environment[keyVariable] : await readText(terminal, keyFile);
	return key?.trim() ?? raise('badArgument', `No API key: give --key-file or ${keyVariable}.`);
}

function headersOf(choices: Choices, key: string): Readonly<Record<string, string>> {
	if (choices.idempotent === true && choices.once === true) {
		return raise('badArgument', 'Choose one of --idempotent and --once.');
	}

	return {
		authorization: `Bearer ${key}`,
		...(choices.idempotent === true && {[callerHeaders.idempotent]: 'true'}),
		...(choices.once === true && {[callerHeaders.idempotent]: 'false'}),
		...(choices.idempotencyKey !== undefined && {[callerHeaders.key]: choices.idempotencyKey}),
		...(choices.timeout !== undefined && {[callerHeaders.timeout]: String(choices.timeout)}),
		...(choices.priority !== undefined && {[callerHeaders.priority]: String(choices.priority)}),
	};
}

function chatCall(prompt: string, choices: Choices, headers: Readonly<Record<string, string>>): Call {
	return {
		method: 'POST',
		path: '/v1/chat/completions',
		headers: {...headers, 'content-type': 'application/json'},
		body: JSON.stringify({
			model: choices.service,
			messages: [{role: 'user', content: prompt}],
			stream: choices.whole !== true,
			...(choices.maxTokens !== undefined && {max_tokens: choices.maxTokens}),
		}),
	};
}

async function plainCall(terminal: Terminal, file: string, choices: Choices, headers: Readonly<Record<string, string>>): Promise<Call> {
	const method = methods.find(each => each === choices.method.toUpperCase())
		?? raise('badArgument', `"${choices.method}" is none of ${methods.join(', ')}.`);
	const path = choices.path!.startsWith('/') ? choices.path! : `/${choices.path!}`;
	return {
		method,
		path: `/v1/services/${encodeURIComponent(choices.service)}${path}`,
		headers: method === 'GET' ? headers : {...headers, 'content-type': 'application/json'},
		...(method !== 'GET' && {body: await readText(terminal, file)}),
	};
}
