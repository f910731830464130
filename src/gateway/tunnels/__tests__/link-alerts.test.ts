/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- The hosts have only the members that these tests use. */
import {expect, it} from 'vitest';
import {type Host, type Message} from '../../peers/messages.js';
import {LinkAlerts} from '../link-alerts.js';

type Line = Readonly<Record<string, unknown>>;

/** Hosts of a large fleet: two relays and four other hosts in each of three failure domains, on one clock. */
class Fleet {
	readonly hosts = new Map<string, {readonly host: Host; readonly alerts: LinkAlerts; readonly alerted: string[][]; readonly lines: Line[]}>();
	now = 0;
	sent = 0;

	constructor() {
		for (const domain of ['a', 'b', 'c']) {
			for (let index = 0; index < 6; index++) {
				this.#add(`${domain}${index}`, domain);
			}
		}
	}

	get alerted(): readonly string[] {
		return [...this.hosts.values()].filter(({alerted}) => alerted.length > 0).map(({host}) => host.name);
	}

	#add(name: string, failureDomain: string): void {
		const host = {name, failureDomain} as unknown as Host;
		const isRelay = (other: string) => other.endsWith('0') || other.endsWith('1');
		const deliver = (to: readonly string[], message: Message) => {
			for (const each of to) {
				this.sent++;
				this.hosts.get(each)!.alerts.handle(host, message.type === 'heartbeat' ? message.linksLost : undefined);
			}
		};

		const listOwn = () => [...this.hosts.keys()].filter(other => other !== name && other.startsWith(failureDomain) && (isRelay(name) || isRelay(other)));
		const alerted: string[][] = [];
		const lines: Line[] = [];
		const alerts = new LinkAlerts({
			self: name,
			peers: {
				isLargeFleet: true,
				relays: [`${failureDomain}0`, `${failureDomain}1`],
				broadcast() {
					throw new Error('not in a large fleet');
				},
				sendToDomain(message) {
					deliver(listOwn(), message);
				},
				sendToOtherDomains(message) {
					deliver(['a', 'b', 'c'].filter(domain => domain !== failureDomain).map(domain => `${domain}0`), message);
				},
			},
			log: {
				write(line) {
					lines.push(line);
				},
			},
			now: () => this.now,
			onAlert(groups) {
				alerted.push([...groups]);
			},
		});
		this.hosts.set(name, {
			host, alerts, alerted, lines,
		});
	}
}

it('an alert of a host reaches all others over the relays, each once, and does not go round', () => {
	const fleet = new Fleet();
	fleet.hosts.get('b4')!.alerts.raise(['s@a', 's@b']);
	expect(fleet.alerted).toHaveLength(17);
	expect([...fleet.hosts.values()].every(({alerted}) => alerted.length <= 1)).toBe(true);
	expect(fleet.sent).toBeLessThan(40);
});

it('alerts of many hosts at once are raised, forwarded and acted on once in a second', () => {
	const fleet = new Fleet();
	for (const {alerts} of fleet.hosts.values()) {
		alerts.raise(['s@a']);
	}

	expect([...fleet.hosts.values()].every(({alerted}) => alerted.length <= 1)).toBe(true);
	expect(fleet.sent).toBeLessThan(120);
	fleet.now = 1100;
	fleet.hosts.get('a3')!.alerts.raise(['s@a']);
	expect(fleet.hosts.get('c5')!.alerted).toEqual([['s@a'], ['s@a']]);
});

it('ignores an invalid alert, and names the peer', () => {
	const fleet = new Fleet();
	const {alerts, alerted, lines, host} = fleet.hosts.get('a2')!;
	for (const alert of [7, {groups: 'all'}, {groups: Array.from({length: 100}, () => 's')}, {groups: ['s'], audience: 'world'}]) {
		alerts.handle(host, alert);
	}

	expect(alerted).toEqual([]);
	expect(lines.map(({event, peer}) => [event, peer])).toEqual(Array.from({length: 4}, () => ['link-alert-ignored', 'a2']));
});
