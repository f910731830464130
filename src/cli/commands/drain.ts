/** `cranberrytide drain`: asks one host to leave. */
import {setTimeout} from 'node:timers/promises';
import {type Command} from 'commander';
import {
	codes,
	isFailure,
	raise,
	type Address,
	type Code,
} from '../../core/index.js';
import {type Drain} from '../../protocol/admin.js';
import {
	askAll, fetchStatus, orderDrain,
} from '../../admin/client.js';
import {addHostOptions} from '../fleet.js';
import {formatAddress} from '../../protocol/address.js';
import {readHosts, type HostSource} from '../hosts.js';
import {type Registration} from '../registration.js';
import {type Terminal} from '../terminal.js';

type Choices = HostSource & {
	readonly grace?: number;
	readonly wait?: boolean;
};

/** Milliseconds between two looks at a host that is leaving. */
const lookInterval = 500;

/**
 * @param program - Command that it belongs to.
 * @param registration - Runs its action.
 */
export function addDrain(program: Command, {terminal, act, wholeNumber}: Registration): void {
	addHostOptions(program.command('drain'))
		.description('Ask a host to leave: it takes no new work, finishes what it runs and stops.')
		.argument('<host>', 'name of the host, or the address of its operators\' listener')
		.option('--grace <ms>', 'time for running requests, in milliseconds', wholeNumber)
		.option('--wait', 'wait until the host no longer answers')
		.addHelpText('after', '\nExample:\n  cranberrytide drain karachi-a-3 --hosts 10.0.0.1:7071,10.0.0.2:7071 --wait')
		.action(act(async (host: string, choices: Choices) => drain(terminal, host, choices)));
}

async function drain(terminal: Terminal, host: string, choices: Choices): Promise<Code> {
	const address = await findHost(terminal, host, choices);
	const answer = await orderDrain(address, choices.grace === undefined ? {} : {grace: choices.grace});
	terminal.write(`${answer.host} is ${answer.phase}; ${inWords(answer.unfinished)} to finish.\n`);
	return choices.wait === true ? waitForStop(terminal, address, answer) : codes.done;
}

async function findHost(terminal: Terminal, host: string, choices: Choices): Promise<Address> {
	const addresses = await readHosts(terminal, {hosts: host.includes(':') ? host : undefined, ...choices}, 'admin');
	const answers = await askAll(addresses, fetchStatus);
	for (const answer of answers) {
		if (formatAddress(answer.address) === host || (answer.type === 'answered' && answer.content.incarnation.host === host)) {
			return answer.address;
		}
	}

	return raise('unreachableHost', `No host that answered is called "${host}".`);
}

async function waitForStop(terminal: Terminal, address: Address, {host, unfinished}: Drain): Promise<Code> {
	for (let left: number | undefined = unfinished; left !== undefined;) {
		await setTimeout(lookInterval);
		const now = await countUnfinished(address);
		if (now !== undefined && now !== left) {
			terminal.write(`${inWords(now)} to finish.\n`);
		}

		left = now;
	}

	terminal.write(`${host} no longer answers.\n`);
	return codes.done;
}

/** Undefined once the host no longer answers. */
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

function inWords(requests: number): string {
	return requests === 1 ? '1 request' : `${requests} requests`;
}
