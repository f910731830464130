/**
 * Draws histories of a store that returns from backups, and hosts that read it or hear of it from each other through late and reordered
 * snapshots. No host goes back, and each has the store's content once everything has been written again.
 */
import fc from 'fast-check';
import {expect, it} from 'vitest';
import {isAfter, type StorePosition} from '../registry/position.js';
import {Registry, type RegistryChange, type RegistrySnapshot} from '../registry/registry.js';
import {type GatewayUpstream} from '../types.js';
import {createUpstream} from './fixtures.js';

const hostCount = 3;
const ids = ['a', 'b', 'c'];

type Step
	= | {readonly type: 'deliver'; readonly host: number; readonly pick: number}
		| {readonly type: 'drain' | 'leave' | 'restart' | 'renew'; readonly id: string}
		| {readonly type: 'list' | 'watch' | 'send'; readonly host: number}
		| {readonly type: 'restore'; readonly back: number};

type Process = {started: number; sequence: number; isDraining: boolean};

/** A store, and the upstreams that write to it. */
class Platform {
	era = 1;
	/** Registered upstreams, also those whose registration the store has lost. */
	readonly processes = new Map<string, Process>();
	#changes: RegistryChange[] = [];
	#starts = 0;

	get position(): StorePosition {
		return {era: this.era, revision: this.#changes.length};
	}

	write(id: string): void {
		const process = this.processes.get(id);
		if (process !== undefined) {
			process.sequence++;
			this.#changes.push({type: 'written', upstream: createUpstream(id, {...process}), ...this.#nextPosition});
		}
	}

	restart(id: string): void {
		this.#starts++;
		this.processes.set(id, {started: this.#starts, sequence: 0, isDraining: false});
		this.write(id);
	}

	drain(id: string): void {
		const process = this.processes.get(id);
		if (process !== undefined) {
			process.isDraining = true;
			this.write(id);
		}
	}

	remove(id: string): void {
		this.processes.delete(id);
		this.#changes.push({type: 'removed', id, ...this.#nextPosition});
	}

	restore(back: number): void {
		this.#changes = this.#changes.slice(0, Math.max(this.#changes.length - back, 1));
		this.era++;
	}

	/** Writes everything again that the store may have lost. */
	rewrite(): void {
		for (const id of ids) {
			if (this.processes.has(id)) {
				this.write(id);
			} else {
				this.remove(id);
			}
		}
	}

	list(): readonly GatewayUpstream[] {
		const listed = new Map<string, GatewayUpstream>();
		for (const change of this.#changes) {
			if (change.type === 'written') {
				listed.set(change.upstream.id, change.upstream);
			} else if (change.type === 'removed') {
				listed.delete(change.id);
			}
		}

		return [...listed.values()];
	}

	changesAfter(revision: number): readonly RegistryChange[] {
		return this.#changes.slice(revision).map(change => ({...change, era: this.era}));
	}

	get #nextPosition(): StorePosition {
		return {era: this.era, revision: this.#changes.length + 1};
	}
}

function list(registry: Registry, platform: Platform): void {
	const {position} = platform;
	registry.reset({...position, changed: position.revision, upstreams: platform.list()});
}

function watch(registry: Registry, platform: Platform): void {
	if (registry.position.era !== platform.era) {
		list(registry, platform);
		return;
	}

	for (const change of platform.changesAfter(registry.position.revision)) {
		registry.apply(change);
	}

	registry.advance(platform.position);
}

const host = fc.nat({max: hostCount - 1});
const id = fc.constantFrom(...ids);
const step: fc.Arbitrary<Step> = fc.oneof(
	fc.record({type: fc.constantFrom('drain', 'leave', 'restart', 'renew'), id}),
	fc.record({type: fc.constantFrom('list', 'watch', 'send'), host}),
	fc.record({type: fc.constant('deliver'), host, pick: fc.nat()}),
	fc.record({type: fc.constant('restore'), back: fc.nat({max: 6})}),
);

function play(steps: readonly Step[]): {readonly platform: Platform; readonly registries: readonly Registry[]} {
	const platform = new Platform();
	const registries = Array.from({length: hostCount}, () => new Registry());
	const sent: RegistrySnapshot[] = [];
	/** Starts of upstreams that each host has seen draining. */
	const leaving = registries.map(() => new Set<string>());
	for (const each of ids) {
		platform.restart(each);
	}

	for (const current of steps) {
		const positions = registries.map(registry => registry.position);
		switch (current.type) {
			case 'drain': {
				platform.drain(current.id);
				break;
			}

			case 'leave': {
				platform.remove(current.id);
				break;
			}

			case 'restart': {
				platform.restart(current.id);
				break;
			}

			case 'renew': {
				platform.write(current.id);
				break;
			}

			case 'restore': {
				platform.restore(current.back);
				break;
			}

			case 'list': {
				list(registries[current.host]!, platform);
				break;
			}

			case 'watch': {
				watch(registries[current.host]!, platform);
				break;
			}

			case 'send': {
				sent.push(registries[current.host]!.snapshot);
				break;
			}

			case 'deliver': {
				const snapshot = sent[current.pick % Math.max(sent.length, 1)];
				if (snapshot !== undefined) {
					registries[current.host]!.merge(snapshot);
				}

				break;
			}
		}

		for (const [index, registry] of registries.entries()) {
			expect(isAfter(positions[index]!, registry.position)).toBe(false);
			for (const upstream of registry.snapshot.upstreams) {
				const start = `${upstream.id} ${upstream.started}`;
				if (upstream.isDraining) {
					leaving[index]!.add(start);
				}

				expect(!upstream.isDraining && leaving[index]!.has(start), `${start} is taken for ready again`).toBe(false);
			}
		}
	}

	return {platform, registries};
}

it('no host goes back in position, or takes an upstream that drains for ready', () => {
	fc.assert(fc.property(fc.array(step, {maxLength: 60}), steps => {
		play(steps);
	}), {numRuns: 600});
});

it('every host has the content of the store once everything has been written again', () => {
	fc.assert(fc.property(fc.array(step, {maxLength: 60}), steps => {
		const {platform, registries} = play(steps);
		const [reader, ...askers] = registries;
		watch(reader!, platform);
		platform.rewrite();
		watch(reader!, platform);
		for (const asker of askers) {
			asker.merge(reader!.snapshot);
			asker.advance(reader!.position);
		}

		const states = platform.list().map(upstream => `${upstream.id} ${upstream.started} ${upstream.isDraining}`).toSorted();
		for (const registry of registries.filter(each => !isAfter(reader!.position, each.position))) {
			expect(registry.snapshot.upstreams.map(upstream => `${upstream.id} ${upstream.started} ${upstream.isDraining}`).toSorted()).toEqual(states);
		}
	}), {numRuns: 600});
});
