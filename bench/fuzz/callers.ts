/** Simulated callers that send operations through any host and follow docs/OUTCOMES.md. */
import {
	type Outcome, type Proof, type Request, type Ticket,
} from '../../src/core/index.js';
import {retryableKeyCodes} from './retryable-key-codes.js';
import {organisationId, serviceId} from './configuration.js';
import {epoch, type Answer, type Host} from './hosts.js';
import {type Simulation} from './simulation.js';

const maxSends = 6;
const answerTimeoutMs = 2500;

/**
 * @param mintedAt - Milliseconds since 1970.
 * @param suffix - A number that no other key has.
 * @returns A UUID of version 7.
 */
export function createKey(mintedAt: number, suffix: number): string {
	const time = mintedAt.toString(16).padStart(12, '0');
	return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${suffix.toString(16).padStart(12, '0')}`;
}

/** Identifies the right that an operation is sent under. */
function getRight(proof: Proof): string {
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

export type CallerOptions = {
	/** Whether what it sends crashes upstreams. */
	readonly isPoison?: boolean;
	/** Host that receives all its requests; any host for each request if absent. */
	readonly at?: string;
};

/** Sends one operation until it is done or given up. */
export class Caller {
	readonly #simulation: Simulation;
	readonly #id: string;
	readonly #at: string | undefined;
	readonly #startsWithTicket: boolean;
	#proof: Proof;
	#sendCount = 0;
	#isDone = false;
	/** Whether it waits for a ticket: nothing is sent meanwhile, and what was sent before never runs. */
	#isFetchingTicket = false;

	constructor(simulation: Simulation, kind: Proof['type'], {isPoison = false, at}: CallerOptions = {}) {
		this.#simulation = simulation;
		this.#at = at;
		this.#id = simulation.createId('o');
		this.#proof = kind === 'key'
			? {type: 'key', key: createKey(epoch + simulation.now + simulation.random.integer(-300, 300), Number(this.#id.slice(1)))}
			: {type: kind === 'idempotent' ? 'idempotent' : 'none'};
		simulation.ledger.operations.set(this.#id, {id: this.#id, idempotent: kind === 'idempotent', isPoison});
		this.#startsWithTicket = kind === 'ticket';
	}

	/** Sends the operation; some callers send it twice at once. */
	start(): void {
		if (this.#startsWithTicket) {
			this.#fetchTicket();
			return;
		}

		this.#send();
		if (this.#simulation.random.chance(15)) {
			this.#send();
		}
	}

	#schedule(delay: number, run: () => void): void {
		this.#simulation.scheduler.after(delay, run);
	}

	#chooseHost(): Host | undefined {
		const {aliveHosts, hosts} = this.#simulation;
		if (this.#at !== undefined) {
			return hosts.get(this.#at);
		}

		return aliveHosts.length > 0 ? this.#simulation.random.pick(aliveHosts) : undefined;
	}

	#fetchTicket(): void {
		this.#isFetchingTicket = true;
		const host = this.#chooseHost();
		const id = this.#simulation.createId('w');
		host?.ticketHandlers.set(id, ticket => {
			this.#useTicket(ticket);
		});
		if (host !== undefined) {
			this.#simulation.dispatch(host, {type: 'ticket-wanted', request: id, organisation: organisationId});
		}
	}

	/** Sends under a new ticket; with faults, some tickets are made to expire soon. */
	#useTicket(ticket: Ticket): void {
		this.#isFetchingTicket = false;
		const {random, now, options} = this.#simulation;
		const expires = options.hasFaults && random.chance(30) ? epoch + now + random.integer(500, 2000) : ticket.expires;
		this.#proof = {type: 'ticket', ticket: {...ticket, expires}};
		this.#send();
		if (random.chance(20)) {
			this.#send();
		}
	}

	#send(): void {
		const host = this.#chooseHost();
		if (host === undefined || this.#sendCount >= maxSends || this.#isDone || this.#isFetchingTicket) {
			return;
		}

		this.#sendCount++;
		const {random, ledger, now} = this.#simulation;
		const request: Request = {
			id: this.#simulation.createId('r'),
			organisation: organisationId,
			service: serviceId,
			priority: 5,
			arrival: now,
			deadline: now + random.integer(1000, 4000),
			promptTokens: 1,
			blocks: [],
			proof: this.#proof,
			fingerprint: this.#id,
		};
		const right = getRight(this.#proof);
		let isAnswered = false;
		this.#schedule(random.integer(1, 10), () => {
			if (!host.isAlive) {
				this.#resend(false);
				return;
			}

			this.#simulation.deliverRequest(host, request, {operation: this.#id, right}, answer => {
				isAnswered = true;
				ledger.receivedAnswers.push({
					operation: this.#id, right, outcome: answer.effect.outcome, payload: answer.payload, decidedAt: answer.decidedAt, at: this.#simulation.now,
				});
				this.#handleAnswer(answer, right);
			});
		});
		this.#schedule(answerTimeoutMs, () => {
			if (!isAnswered && !this.#isDone) {
				this.#abandon(host, request.id);
				this.#resend(true);
			}
		});
	}

	/** Half of the callers that time out close their connection. */
	#abandon(host: Host, request: string): void {
		if (this.#simulation.random.chance(50)) {
			const exchange = host.exchanges.get(request);
			if (exchange !== undefined) {
				exchange.hostRequest.isExempt = true;
			}

			this.#simulation.dispatch(host, {type: 'request-abandoned', request});
		}
	}

	#resend(isAfterTimeout: boolean): void {
		this.#schedule(isAfterTimeout ? 1 : this.#simulation.random.integer(50, 500), () => {
			this.#send();
		});
	}

	/** Ignores a late answer to a request under an earlier right. */
	#handleAnswer({effect}: Answer, right: string): void {
		if (this.#isDone || this.#isFetchingTicket || right !== getRight(this.#proof)) {
			return;
		}

		const {outcome, ticket} = effect;
		switch (outcome.type) {
			case 'done': {
				this.#isDone = !this.#simulation.random.chance(20);
				this.#resend(false);
				break;
			}

			case 'unknown':
			case 'failed': {
				this.#resend(false);
				break;
			}

			case 'not-run': {
				this.#handleNotRun(outcome, ticket);
				break;
			}
		}
	}

	/** Resends under the same right if that may still run; after a final refusal, under a new ticket. */
	#handleNotRun({code}: Extract<Outcome, {readonly type: 'not-run'}>, ticket: Ticket | undefined): void {
		if (ticket !== undefined) {
			this.#useTicket(ticket);
		} else if (this.#proof.type === 'key' && retryableKeyCodes.has(code)) {
			this.#resend(false);
		} else if (this.#proof.type === 'idempotent') {
			this.#resend(false);
		} else {
			this.#proof = {type: 'none'};
			this.#fetchTicket();
		}
	}
}
