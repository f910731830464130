/** `cranberrytide drain`: drains one host. */
import {setTimeout} from 'node:timers/promises';
import {type Command} from 'commander';
import {
	codes,
	isFailure,
	raise,
	type Address,
	type Code,
} from '../../core/index.js';
import {type DrainResponse} from '../../protocol/admin.js';
import {
	fetchFromHosts, fetchStatus, requestDrain,
} from '../../admin/client.js';
import {addHostOptions} from '../fleet.js';
import {formatAddress} from '../../protocol/address.js';
import {readHostAddresses, type HostOptions} from '../hosts.js';
import {type CommandServices} from '../command-services.js';
import {type Terminal} from '../terminal.js';

type DrainOptions = HostOptions & {
	readonly grace?: number;
	readonly wait?: boolean;
};

/** Interval at which the status of a draining host is polled. */
const pollIntervalMs = 500;

/**
 * @param program - Program that the command is added to.
 * @param services - Terminal and helpers that all commands share.
 */
export function addDrainCommand(program: Command, {terminal, wrapAction, parseWholeNumber}: CommandServices): void {
	addHostOptions(program.command('drain'))
		.description('Drain a host: it accepts no new requests, finishes those that run and stops.')
		.argument('<host>', 'name of the host, or address of its admin listener')
		.option('--grace <ms>', 'time that running requests have to finish, in milliseconds', parseWholeNumber)
		.option('--wait', 'wait until the host no longer responds')
		.addHelpText('after', '\nExample:\n  cranberrytide drain karachi-a-3 --hosts 10.0.0.1:7071,10.0.0.2:7071 --wait')
		.action(wrapAction(async (host: string, options: DrainOptions) => drain(terminal, host, options)));
}

async function drain(terminal: Terminal, host: string, options: DrainOptions): Promise<Code> {
	const address = await findHostAddress(terminal, host, options);
	const answer = await requestDrain(address, options.grace === undefined ? {} : {grace: options.grace});
	terminal.write(`${answer.host} is ${answer.phase}; ${formatRequestCount(answer.unfinished)} to finish.\n`);
	return options.wait === true ? waitForStop(terminal, address, answer) : codes.done;
}

async function findHostAddress(terminal: Terminal, host: string, options: DrainOptions): Promise<Address> {
	const addresses = await readHostAddresses(terminal, {hosts: host.includes(':') ? host : undefined, ...options}, 'admin');
	const answers = await fetchFromHosts(addresses, fetchStatus);
	for (const answer of answers) {
		if (formatAddress(answer.address) === host || (answer.type === 'answered' && answer.content.incarnation.host === host)) {
			return answer.address;
		}
	}

	return raise('unreachableHost', `None of the hosts that answered is called "${host}".`);
}

async function waitForStop(terminal: Terminal, address: Address, {host, unfinished}: DrainResponse): Promise<Code> {
	for (let remaining: number | undefined = unfinished; remaining !== undefined;) {
		await setTimeout(pollIntervalMs);
		const now = await countUnfinished(address);
		if (now !== undefined && now !== remaining) {
			terminal.write(`${formatRequestCount(now)} to finish.\n`);
		}

		remaining = now;
	}

	terminal.write(`${host} no longer answers.\n`);
	return codes.done;
}

/** Returns undefined once the host no longer answers. */
async function countUnfinished(address: Address): Promise<number | undefined> {
	try {
		const {queues} = await fetchStatus(address);
		return queues.map(each => each.running + each.waiting).reduce((sum, each) => sum + each, 0);
	} catch (error) {
		if (isFailure(error) && error.code === codes.unreachableHost) {
			return undefined;
		}

		throw error;
	}
}

function formatRequestCount(requests: number): string {
	return requests === 1 ? '1 request' : `${requests} requests`;
}
