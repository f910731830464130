/** Settings: an invalid one must end the start and name its field. */
import {expect, it} from 'vitest';
import {parseSettings} from '../../protocol/settings.js';
import {settingsSchema} from '../settings.js';

const address = '127.0.0.1:1';
const settings = {
	host: 'host-0', failureDomain: 'a', caller: address, ready: address, peer: address, store: address,
};

it.each([
	['empty', {keys: ['']}, 'fleet.keys.0'],
	['of blanks', {keys: [' '.repeat(40)]}, 'fleet.keys.0'],
	['too short', {keys: ['a key of sixteen characters', '15 characters..']}, 'fleet.keys.1'],
	['not a text', {keys: [1_234_567_890_123_456]}, 'fleet.keys.0'],
	['missing', {keys: []}, 'fleet.keys'],
	['more than two', {keys: ['a', 'b', 'c'].map(each => each.repeat(16))}, 'fleet.keys'],
	['under another name', {key: 'a key of sixteen characters'}, 'fleet.keys'],
])('refuses a key that is %s', (_, fleet, field) => {
	expect(() => parseSettings(settingsSchema, {...settings, fleet})).toThrow(field);
});

it('reads one key or two, and none', () => {
	const keys = ['a key of sixteen characters', 'another of sixteen characters'];
	expect(parseSettings(settingsSchema, {...settings, fleet: {keys}}).fleet?.keys).toEqual(keys);
	expect(parseSettings(settingsSchema, {...settings, fleet: {keys: keys.slice(1)}}).fleet?.keys).toEqual(keys.slice(1));
	expect(parseSettings(settingsSchema, settings).fleet).toBeUndefined();
});

it('refuses an address for tunnels that other hosts would ignore', () => {
	expect(() => parseSettings(settingsSchema, {...settings, tunnel: '127.0.0.2:5'})).toThrow('tunnel');
	expect(parseSettings(settingsSchema, {...settings, tunnel: '127.0.0.1:5'}).tunnel).toEqual({host: '127.0.0.1', port: 5});
	expect(parseSettings(settingsSchema, {...settings, tunnel: 'none'}).tunnel).toBe('none');
});
