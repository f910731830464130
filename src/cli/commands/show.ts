/** `cranberrytide show`: which document is in force, and on which hosts. */
import {type Command} from 'commander';
import {codes, type Code} from '../../core/index.js';
import {type InForce} from '../../protocol/admin.js';
import {askAll, fetchInForce, type Answer} from '../../admin/client.js';
import {formatAddress} from '../../protocol/address.js';
import {readHosts, type HostSource} from '../hosts.js';
import {type Registration} from '../registration.js';
import {addHostOptions, complainOfSilent, resultOf} from '../fleet.js';
import {formatTable} from '../table.js';
import {writeJson, writeLines, type Terminal} from '../terminal.js';

type Choices = HostSource & {
	readonly json?: boolean;
	readonly document?: boolean;
};

/**
 * @param program - Command that it belongs to.
 * @param registration - Runs its action.
 */
export function addShow(program: Command, {terminal, act}: Registration): void {
	addHostOptions(program.command('show'))
		.description('Show the revision in force and on which hosts; exit with 1 if they differ.')
		.option('--document', 'write the document with the highest revision instead')
		.option('--json', 'write JSON')
		.addHelpText('after', '\nExample:\n  cranberrytide show --hosts 10.0.0.1:7071,10.0.0.2:7071 --document > current.json')
		.action(act(async (choices: Choices) => show(terminal, choices)));
}

async function show(terminal: Terminal, choices: Choices): Promise<Code> {
	const answers = await askAll(await readHosts(terminal, choices, 'admin'), async address => fetchInForce(address));
	const documents = answers.flatMap(answer => answer.type === 'answered' ? [answer.content] : []);
	const newest = documents.toSorted((first, second) => second.revision - first.revision)[0];
	if (choices.document === true) {
		terminal.write(newest?.text ?? '');
	} else if (choices.json === true) {
		writeJson(terminal, answers.map(answer => row(answer)));
	} else {
		writeLines(terminal, table(documents));
	}

	complainOfSilent(terminal, answers);
	const differ = documents.some(each => each.digest !== newest?.digest);
	return differ ? codes.differs : resultOf(answers);
}

function row(answer: Answer<InForce>): unknown {
	const address = formatAddress(answer.address);
	if (answer.type === 'silent') {
		return {address, code: answer.failure.code};
	}

	const {host, revision, digest} = answer.content;
	return {
		address, host, revision, digest,
	};
}

function table(documents: readonly InForce[]): readonly string[] {
	const rows = documents
		.toSorted((first, second) => second.revision - first.revision || first.host.localeCompare(second.host))
		.map(({host, revision, digest}) => [host, revision, digest]);
	return formatTable(['HOST', 'REVISION', 'SHA-256'], rows);
}
