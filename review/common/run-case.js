/** Plays a case to its end, whatever happens. */
import process from 'node:process';

/** Time in milliseconds after which a case counts as not run. */
const timeoutMs = 110_000;

const exitCodes = {held: 0, broken: 1, notRun: 2};

/**
 * Plays a case and ends the process: with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
 *
 * @param options - Record of the case, name of its rule, function that plays it and returns whether the rule was broken, and function that
 * ends all processes.
 */
export async function runCase({record, rule, play, close}) {
	const end = async (text, exitCode) => {
		record.add(text);
		await close();
		// eslint-disable-next-line unicorn/no-process-exit -- Servers and clients of the case would keep the process alive.
		process.exit(exitCode);
	};

	const fail = async error => end(`not run: ${error.stack}`, exitCodes.notRun);
	process.once('uncaughtException', fail);
	setTimeout(fail, timeoutMs, new Error('not over in time'));
	try {
		const isBroken = await play();
		await end(isBroken ? `the rule ${rule} was broken` : `the rule ${rule} held`, isBroken ? exitCodes.broken : exitCodes.held);
	} catch (error) {
		await fail(error);
	}
}
