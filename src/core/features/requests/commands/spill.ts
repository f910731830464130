/** Spills requests to upstreams of other failure domains when those of the own domain are full or unavailable. */
import {type FailureDomain} from '../../../types/configuration.js';
import {type StepContext, type State, type StepResult} from '../../../types/state.js';
import {listDomainUpstreams, findService} from '../../configuration/queries.js';
import {sample} from '../../routing/candidates.js';
import {route} from '../../routing/queries.js';
import {getView} from '../../upstreams/queries.js';
import {type Admission} from '../types.js';
import {send} from './attempts.js';

/** Requests that this host may have in flight for each upstream of another failure domain. */
const maxSpillsPerUpstream = 0.5;

/** Returns the other failure domains in random order, those of the own region first. */
function listOtherDomains(state: State, context: StepContext): readonly FailureDomain[] {
	const domains = state.configuration.inForce?.failureDomains ?? [];
	const region = domains.find(each => each.id === state.self.failureDomain)?.region;
	const otherDomains = domains.filter(each => each.id !== state.self.failureDomain);
	return sample(otherDomains, otherDomains.length, context)
		.toSorted((a, b) => Number(b.region === region) - Number(a.region === region));
}

function hasSpillRoom(state: State, id: string, failureDomain: string): boolean {
	const upstreams = listDomainUpstreams(state, id, failureDomain);
	const running = upstreams.reduce((sum, each) => sum + getView(state, each.id).requests, 0);
	return running < Math.max(upstreams.length * maxSpillsPerUpstream, 1);
}

/**
 * Sends a request to an upstream of another failure domain. It goes directly to the upstream, so the attempt and the proof of
 * what became of it stay with this host.
 *
 * @param admission - Request that is new or waits in its queue.
 * @returns The next state and the effects, or undefined if no other failure domain has room.
 */
export function spill(state: State, admission: Admission, context: StepContext): StepResult | undefined {
	const {request} = admission;
	const requestedService = findService(state, request.service);
	if (requestedService === undefined || admission.queue === 'group') {
		return undefined;
	}

	for (const domain of listOtherDomains(state, context)) {
		if (!hasSpillRoom(state, requestedService.id, domain.id)) {
			continue;
		}

		const found = route(state, {
			request, requestedService, failureDomain: domain.id, failedUpstreams: admission.failedUpstreams,
		}, context);
		if (found.type === 'send') {
			const choice = {...found.choice, reason: `spilled to ${domain.id}: ${found.choice.reason}`};
			const sent = send(state, admission, choice, context);
			return {
				...sent, effects: [...sent.effects, {
					type: 'count', name: 'spilled', value: 1, tags: {service: requestedService.id, to: domain.id},
				}],
			};
		}
	}

	return undefined;
}

/**
 * @param admission - Request that is not in a queue.
 * @returns The next state and the effects, or undefined if no other failure domain has room.
 */
export function spillNew(state: State, admission: Admission, context: StepContext): StepResult | undefined {
	return spill(state, {...admission, progress: {type: 'holding', since: context.now}}, context);
}
