/** `cranberrytide completion`: writes a script that completes commands, options and files in a shell. */
import {type Command} from 'commander';
import {codes, raise, type Code} from '../../core/index.js';
import {type CommandServices} from '../command-services.js';
import {type Terminal} from '../terminal.js';

/**
 * @param program - Command that it belongs to, and whose commands are completed.
 * @param services - Terminal and helpers that all commands share.
 */
export function addCompletionCommand(program: Command, {terminal, wrapAction}: CommandServices): void {
	program.command('completion')
		.description('Write a completion script for bash or zsh.')
		.argument('<shell>', 'bash or zsh')
		.addHelpText('after', '\nExample:\n  source <(cranberrytide completion bash)')
		.action(wrapAction(async (shell: string) => writeScript(terminal, program, shell)));
}

async function writeScript(terminal: Terminal, program: Command, shell: string): Promise<Code> {
	terminal.write(createScript(program, shell));
	return codes.done;
}

function createScript(program: Command, shell: string): string {
	switch (shell) {
		case 'bash': {
			return createBashScript(program);
		}

		case 'zsh': {
			return createZshScript(program);
		}

		default: {
			return raise('badArgument', `Unsupported shell "${shell}"; use bash or zsh.`);
		}
	}
}

function listOptions(command: Command): readonly string[] {
	return command.options.flatMap(({long}) => long === undefined ? [] : [long]);
}

function createBashScript(program: Command): string {
	const name = program.name();
	const cases = program.commands.map(command =>
		`\t\t${command.name()}) words="${[...listOptions(command), '--help'].join(' ')}" ;;`);
	return `_${name}() {
	local word="\${COMP_WORDS[COMP_CWORD]}" words
	if [ "$COMP_CWORD" -eq 1 ]; then
		COMPREPLY=($(compgen -W "${program.commands.map(command => command.name()).join(' ')} --help --version" -- "$word"))
		return
	fi
	case "\${COMP_WORDS[1]}" in
${cases.join('\n')}
		*) words="--help" ;;
	esac
	case "$word" in
		-*) COMPREPLY=($(compgen -W "$words" -- "$word")) ;;
		*) COMPREPLY=($(compgen -f -- "$word")) ;;
	esac
}
complete -o filenames -F _${name} ${name}
`;
}

function createZshScript(program: Command): string {
	const name = program.name();
	const commands = program.commands.map(command => `\t\t'${command.name()}:${escapeText(command.description())}'`);
	const cases = program.commands.map(command => {
		const options = command.options.map(({long, description, required}) =>
			`'${long}[${escapeText(description).replaceAll(/[\[\]]/gv, '')}]${required ? ':value:_files' : ''}'`);
		return `\t\t${command.name()}) _arguments ${[...options, '\'*:file:_files\''].join(' ')} ;;`;
	});
	return `#compdef ${name}
_${name}() {
	local -a commands=(
${commands.join('\n')}
	)
	if (( CURRENT == 2 )); then
		_describe command commands
		return
	fi
	local command="\${words[2]}"
	shift words
	(( CURRENT-- ))
	case "$command" in
${cases.join('\n')}
	esac
}
compdef _${name} ${name}
`;
}

function escapeText(text: string): string {
	return text.replaceAll('\'', String.raw`'\''`).replaceAll(':', String.raw`\:`);
}
