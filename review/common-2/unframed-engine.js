/**
 * A model engine in a process of its own, whose streams have neither a length nor chunks and end with their connections. It is told its port and id,
 * and writes a line for each request that it runs.
 */
import {createServer} from 'node:http';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const [port, id, pauseMs] = process.argv.slice(2);
const eventCount = 20;

const server = createServer(async (incoming, outgoing) => {
	await serve(incoming, outgoing);
});
server.listen(Number(port), '127.0.0.1', () => {
	console.log('listening');
});

async function serve(incoming, outgoing) {
	incoming.resume();
	await new Promise(resolve => {
		incoming.once('end', resolve);
	});
	if (incoming.headers['x-expect-instance'] !== undefined && incoming.headers['x-expect-instance'] !== id) {
		outgoing.writeHead(421, {'X-Not-Executed': '1'}).end();
		return;
	}

	if (incoming.url === '/healthz') {
		outgoing.writeHead(200, {'X-Instance-Id': id, 'Content-Length': 0}).end();
		return;
	}

	const request = incoming.headers['x-request-id'];
	console.log(`runs ${request}`);
	const {socket} = outgoing;
	socket.write(`HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: ${request}\r\nX-Response-Signature: sig-${request}\r\nConnection: close\r\n\r\n`);
	for (let event = 1; event <= eventCount; event++) {
		socket.write(`id: ${event}\ndata: piece ${event}\n\n`);
		await sleep(Number(pauseMs));
	}

	console.log(`ended ${request}`);
	socket.end();
}
