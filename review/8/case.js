/** A machine whose `GraceS` is a fraction gets SIGTERM: the gateway gives up after a second what it has 7.5 s for. */
import {Buffer} from 'node:buffer';
import {randomInt} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {Agent} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	ask, BackEnd, callerHeaders, isTroubled, runCase,
} from '../common-2/site.js';
import {fillIn} from '../common-2/template.js';

const graceS = 7.5;

const streamCount = 8;

/** A stream lasts 4 s. */
const eventCount = 20;
const pauseMs = 200;

/** Fields of the settings as DEPLOY.md lists them, with the figures of the small deployment; an address of its own leaves the fixed port of the metrics free. */
function createFields(name, ip, store) {
	return {
		NodeName: name,
		Role: 'gateway',
		MachineClass: 'edge',
		Serves: ['edge', 'control'],
		Ip: ip,
		Zone: 'hall-nord',
		Region: 'thies',
		PortRange: [7340, 7355],
		Seeds: [`${ip}:8229`],
		Bootstrap: true,
		HeartbeatMs: 1200,
		Listen: {Frontend: `${ip}:8227`, Ready: `${ip}:8220`, ControlPlane: `${ip}:8229`},
		Limits: {
			CpuShare: 0.675, CpuCores: 1, MemoryMb: 350, MaxFds: 4100, LinkMbps: 1000, DiskMb: 0,
		},
		Bounds: {
			SeedLagS: 3,
			ReuseAfterS: 2,
			SettleTimeMs: 3000,
			DrainMs: 2000,
			GraceS: graceS,
			LossSlackMs: 200,
			ConfigApplyMs: 2000,
			StrictRevocation: true,
			RevokeMs: 5000,
			RetryBudgetRatio: 0.2,
			RetryWindowS: 10,
			RetryAllowance: 102,
			RecoverS: 12,
		},
		Platform: {Address: store, ReadsPerS: 2000, HistoryS: 20},
	};
}

await runCase(path.dirname(process.argv[1]), async (site, record) => {
	const engine = new BackEnd({
		id: 'i-engine',
		service: 'cranberrytide-pool',
		record,
		async handle(incoming, outgoing) {
			const id = incoming.headers['x-request-id'];
			outgoing.writeHead(200, {'Content-Type': 'text/event-stream', 'X-Request-Id': id, 'X-Response-Signature': `sig-${id}`});
			for (let event = 1; event <= eventCount && !outgoing.destroyed; event++) {
				outgoing.write(`id: ${event}\ndata: piece ${event}\n\n`);
				await sleep(pauseMs);
			}

			outgoing.end();
		},
	});
	await site.start({
		backEnds: [engine],
		async configure(gateway, store) {
			const ip = `127.${randomInt(1, 250)}.${randomInt(1, 250)}.${randomInt(2, 250)}`;
			const text = fillIn(readFileSync('deploy/settings.json.template', 'utf8'), createFields(gateway.name, ip, store));
			record.write(`settings: ${text.replaceAll(/\s+/gv, ' ')}`);
			gateway.use(text, {host: ip, port: 8227, readyPort: 8220});
		},
	});
	const [gateway] = site.gateways;
	await sleep(3500);
	const agent = new Agent({keepAlive: true});
	const streams = Array.from({length: streamCount}, async (_, index) => {
		const id = `stream-${index}`;
		record.write(`client sends ${id}`);
		const answer = await ask({
			host: gateway.host,
			port: gateway.port,
			path: '/crew/1',
			method: 'POST',
			id,
			agent,
			body: Buffer.from('a question'),
			headers: callerHeaders(10_000, {'X-Model': 'm', 'X-Token-Count': '1000,860'}),
		});
		const pieces = [...answer.body.matchAll(/^id: \d+$/gmv)].length;
		record.write(`client gets ${answer.status} for ${id}, ${answer.isWhole ? 'complete' : `broken off (${answer.failure})`}, ${pieces} of ${eventCount} pieces`);
		return answer;
	});
	await sleep(500);
	if (isTroubled) {
		record.write('the platform sends SIGTERM');
		gateway.child.kill('SIGTERM');
	}

	const answers = await Promise.all(streams);
	const lost = answers.filter(({isWhole}) => !isWhole);
	await sleep(300);
	record.write(`the gateway ended with ${gateway.child.signalCode ?? gateway.child.exitCode ?? 'nothing yet'}`);
	return lost.length > 0 ? `${lost.length} of ${answers.length} requests that the gateway had read and passed on have no complete answer` : undefined;
});
