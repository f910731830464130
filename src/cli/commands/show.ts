/** `cranberrytide show`: lists which configuration document is in force on which host. */
import {type Command} from 'commander';
import {codes, type Code} from '../../core/index.js';
import {type ConfigurationInForce} from '../../protocol/admin.js';
import {fetchFromHosts, fetchConfiguration, type HostAnswer} from '../../admin/client.js';
import {formatAddress} from '../../protocol/address.js';
import {readHostAddresses, type HostOptions} from '../hosts.js';
import {type CommandServices} from '../command-services.js';
import {addHostOptions, reportFailedHosts, getResultCode} from '../fleet.js';
import {formatTable} from '../table.js';
import {writeJson, writeLines, type Terminal} from '../terminal.js';

type ShowOptions = HostOptions & {
	readonly json?: boolean;
	readonly document?: boolean;
};

/**
 * @param program - Program that the command is added to.
 * @param services - Terminal and helpers that all commands share.
 */
export function addShowCommand(program: Command, {terminal, wrapAction}: CommandServices): void {
	addHostOptions(program.command('show'))
		.description('Show the revision in force on each host; exit with 1 if the documents differ.')
		.option('--document', 'write the document with the highest revision instead')
		.option('--json', 'write JSON')
		.addHelpText('after', '\nExample:\n  cranberrytide show --hosts 10.0.0.1:7071,10.0.0.2:7071 --document > current.json')
		.action(wrapAction(async (options: ShowOptions) => show(terminal, options)));
}

async function show(terminal: Terminal, options: ShowOptions): Promise<Code> {
	const answers = await fetchFromHosts(await readHostAddresses(terminal, options, 'admin'), async address => fetchConfiguration(address));
	const documents = answers.flatMap(answer => answer.type === 'answered' ? [answer.content] : []);
	const newest = documents.toSorted((first, second) => second.revision - first.revision)[0];
	if (options.document === true) {
		terminal.write(newest?.text ?? '');
	} else if (options.json === true) {
		writeJson(terminal, answers.map(answer => createJsonEntry(answer)));
	} else {
		writeLines(terminal, formatDocuments(documents));
	}

	reportFailedHosts(terminal, answers);
	const isDifferent = documents.some(each => each.digest !== newest?.digest);
	return isDifferent ? codes.differs : getResultCode(answers);
}

function createJsonEntry(answer: HostAnswer<ConfigurationInForce>): unknown {
	const address = formatAddress(answer.address);
	if (answer.type === 'silent') {
		return {address, code: answer.failure.code};
	}

	const {host, revision, digest} = answer.content;
	return {
		address, host, revision, digest,
	};
}

function formatDocuments(documents: readonly ConfigurationInForce[]): readonly string[] {
	const rows = documents
		.toSorted((first, second) => second.revision - first.revision || first.host.localeCompare(second.host))
		.map(({host, revision, digest}) => [host, revision, digest]);
	return formatTable(['HOST', 'REVISION', 'SHA-256'], rows);
}
