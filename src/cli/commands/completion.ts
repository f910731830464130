/** `cranberrytide completion`: a script that completes commands, options and files in a shell. */
import {type Command} from 'commander';
import {codes, raise, type Code} from '../../core/index.js';
import {type Registration} from '../registration.js';
import {type Terminal} from '../terminal.js';

/**
 * @param program - Command that it belongs to, and whose commands are completed.
 * @param registration - Runs its action.
 */
export function addCompletion(program: Command, {terminal, act}: Registration): void {
	program.command('completion')
		.description('Write a completion script for bash or zsh.')
		.argument('<shell>', 'bash or zsh')
		.addHelpText('after', '\nExample:\n  source <(cranberrytide completion bash)')
		.action(act(async (shell: string) => complete(terminal, program, shell)));
}

async function complete(terminal: Terminal, program: Command, shell: string): Promise<Code> {
	terminal.write(scriptOf(program, shell));
	return codes.done;
}

function scriptOf(program: Command, shell: string): string {
	switch (shell) {
		case 'bash': {
			return bashScript(program);
		}

		case 'zsh': {
			return zshScript(program);
		}

		default: {
			return raise('badArgument', `There is no completion for "${shell}".`);
		}
	}
}

function optionsOf(command: Command): readonly string[] {
	return command.options.flatMap(({long}) => long === undefined ? [] : [long]);
}

function bashScript(program: Command): string {
	const name = program.name();
	const cases = program.commands.map(command =>
		`\t\t${command.name()}) words="${[...optionsOf(command), '--help'].join(' ')}" ;;`);
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

function zshScript(program: Command): string {
	const name = program.name();
	const commands = program.commands.map(command => `\t\t'${command.name()}:${quote(command.description())}'`);
	const cases = program.commands.map(command => {
		const options = command.options.map(({long, description, required}) =>
			`'${long}[${quote(description).replaceAll(/[\[\]]/gv, '')}]${required ? ':value:_files' : ''}'`);
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

function quote(text: string): string {
	return text.replaceAll('\'', String.raw`'\''`).replaceAll(':', String.raw`\:`);
}
