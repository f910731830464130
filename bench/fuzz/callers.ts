/** Callers that send operations through any host and follow docs/OUTCOMES.md. */
import {
	type Outcome, type Proof, type Request, type Ticket,
} from '../../src/core/index.js';
import {openCodes} from './open-codes.js';
import {organisationId, serviceId} from './configuration.js';
import {epoch, type Answer, type Host} from './hosts.js';
import {type World} from './world.js';

const mostSendings = 6;
const patience = 2500;

/**
 * @param minted - Milliseconds since 1970.
 * @param rest - A number that no other key has.
 * @returns A UUID of version 7.
 */
export function keyOf(minted: number, rest: number): string {
	const time = minted.toString(16).padStart(12, '0');
	return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${rest.toString(16).padStart(12, '0')}`;
}

function rightOf(proof: Proof): string {
	switch (proof.type) {
		case 'ticket': {
			const {keeper, sequence} = proof.ticket;
			return `t ${keeper.host} ${keeper.started} ${sequence}`;
		}

		case 'key': {
			return `k ${proof.key}`;
		}

		case 'none':
		case 'idempotent': {
			return proof.type;
		}
	}
}

/** How a caller behaves. */
export type Manner = {
	/** Whether what it sends crashes upstreams. */
	readonly kills?: boolean;
	/** The one host it sends to; any host if absent. */
	readonly at?: string;
};

/** One operation of one caller, until it is done or given up. */
export class Caller {
	readonly #world: World;
	readonly #id: string;
	readonly #at: string | undefined;
	readonly #startsWithTicket: boolean;
	#proof: Proof;
	#sendings = 0;
	#isOver = false;
	/** Waits for a ticket: what was sent before never runs, and nothing is sent until it is there. */
	#isFetching = false;

	constructor(world: World, kind: Proof['type'], {kills = false, at}: Manner = {}) {
		this.#world = world;
		this.#at = at;
		this.#id = world.name('o');
		this.#proof = kind === 'key'
			? {type: 'key', key: keyOf(epoch + world.now + world.dice.integer(-300, 300), Number(this.#id.slice(1)))}
			: {type: kind === 'idempotent' ? 'idempotent' : 'none'};
		world.ledger.operations.set(this.#id, {id: this.#id, idempotent: kind === 'idempotent', kills});
		this.#startsWithTicket = kind === 'ticket';
	}

	/** Sends for the first time; some callers send twice at once. */
	start(): void {
		if (this.#startsWithTicket) {
			this.#fetchTicket();
			return;
		}

		this.#send();
		if (this.#world.dice.chance(15)) {
			this.#send();
		}
	}

	#later(delay: number, run: () => void): void {
		this.#world.agenda.after(delay, run);
	}

	#host(): Host | undefined {
		const {living, hosts} = this.#world;
		if (this.#at !== undefined) {
			return hosts.get(this.#at);
		}

		return living.length > 0 ? this.#world.dice.pick(living) : undefined;
	}

	/** Takes a fresh ticket; some are made to expire soon. */
	#fetchTicket(): void {
		this.#isFetching = true;
		const host = this.#host();
		const id = this.#world.name('w');
		host?.tickets.set(id, ticket => {
			this.#use(ticket);
		});
		if (host !== undefined) {
			this.#world.dispatch(host, {type: 'ticket-wanted', request: id, organisation: organisationId});
		}
	}

	#use(ticket: Ticket): void {
		this.#isFetching = false;
		const {dice, now, plan} = this.#world;
		const expires = plan.faults && dice.chance(30) ? epoch + now + dice.integer(500, 2000) : ticket.expires;
		this.#proof = {type: 'ticket', ticket: {...ticket, expires}};
		this.#send();
		if (dice.chance(20)) {
			this.#send();
		}
	}

	#send(): void {
		const host = this.#host();
		if (host === undefined || this.#sendings >= mostSendings || this.#isOver || this.#isFetching) {
			return;
		}

		this.#sendings++;
		const {dice, ledger, now} = this.#world;
		const request: Request = {
			id: this.#world.name('r'),
			organisation: organisationId,
			service: serviceId,
			priority: 5,
			arrival: now,
			deadline: now + dice.integer(1000, 4000),
			promptTokens: 1,
			blocks: [],
			proof: this.#proof,
			fingerprint: this.#id,
		};
		const right = rightOf(this.#proof);
		let isAnswered = false;
		this.#later(dice.integer(1, 10), () => {
			if (!host.isAlive) {
				this.#again(false);
				return;
			}

			this.#world.arrive(host, request, {operation: this.#id, right}, answer => {
				isAnswered = true;
				ledger.told.push({
					operation: this.#id, right, outcome: answer.effect.outcome, payload: answer.payload, decidedAt: answer.decidedAt, at: this.#world.now,
				});
				this.#hear(answer, right);
			});
		});
		this.#later(patience, () => {
			if (!isAnswered && !this.#isOver) {
				this.#leave(host, request.id);
				this.#again(true);
			}
		});
	}

	/** Half of the callers that wait no longer close their connection. */
	#leave(host: Host, request: string): void {
		if (this.#world.dice.chance(50)) {
			const exchange = host.exchanges.get(request);
			if (exchange !== undefined) {
				exchange.visit.excused = true;
			}

			this.#world.dispatch(host, {type: 'request-abandoned', request});
		}
	}

	#again(isSlow: boolean): void {
		this.#later(isSlow ? 1 : this.#world.dice.integer(50, 500), () => {
			this.#send();
		});
	}

	/** A stray answer under an older right changes nothing. */
	#hear({effect}: Answer, right: string): void {
		if (this.#isOver || this.#isFetching || right !== rightOf(this.#proof)) {
			return;
		}

		const {outcome, ticket} = effect;
		switch (outcome.type) {
			case 'done': {
				this.#isOver = !this.#world.dice.chance(20);
				this.#again(false);
				break;
			}

			case 'unknown':
			case 'failed': {
				this.#again(false);
				break;
			}

			case 'not-run': {
				this.#afterNotRun(outcome, ticket);
				break;
			}
		}
	}

	/** Not run for good: the operation may be sent under another right. */
	#afterNotRun({code}: Extract<Outcome, {readonly type: 'not-run'}>, ticket: Ticket | undefined): void {
		if (ticket !== undefined) {
			this.#use(ticket);
		} else if (this.#proof.type === 'key' && openCodes.has(code)) {
			this.#again(false);
		} else if (this.#proof.type === 'idempotent') {
			this.#again(false);
		} else {
			this.#proof = {type: 'none'};
			this.#fetchTicket();
		}
	}
}
