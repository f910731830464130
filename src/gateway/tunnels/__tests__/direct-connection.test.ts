import {expect, it} from 'vitest';
import {connectDirectly} from '../direct-connection.js';

it.each([86_099, -1, Number.NaN])('a connection to port %d fails without throwing', async port => {
	expect(await connectDirectly({host: '127.0.0.1', port})).toMatchObject({type: 'failed', failure: 'refused'});
});
