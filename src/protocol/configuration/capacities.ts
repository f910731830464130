/** Finds limits that cannot be met. */
import {
	type Configuration,
	type Engine,
	type ModelService,
	type Service,
} from '../../core/index.js';
import {groupBy} from './group.js';
import {formatPath} from './path.js';
import {type Mistake} from './types.js';

type Path = readonly PropertyKey[];

/**
 * @param configuration - A document of the right shape.
 * @returns Every limit that contradicts another one or that the upstreams cannot meet.
 */
export function capacityMistakes(configuration: Configuration): readonly Mistake[] {
	const engines = groupBy(
		configuration.upstreams.filter(each => each.kind === 'engine'),
		each => each.service,
	);
	return [
		...configuration.services.flatMap((service, index) => [
			...deadlineMistakes(service, ['services', index]),
			...(service.kind === 'model' ? modelMistakes(service, ['services', index], engines.get(service.id) ?? []) : []),
		]),
		...memoryMistakes(configuration),
	];
}

function impossible(path: Path, text: string): Mistake {
	return {path: formatPath(path), code: 'impossibleLimit', text};
}

function deadlineMistakes({deadline}: Service, path: Path): readonly Mistake[] {
	return deadline.default > deadline.most
		? [impossible([...path, 'deadline', 'default'], `The default of ${deadline.default} ms is above the most, ${deadline.most} ms.`)]
		: [];
}

function modelMistakes(service: ModelService, path: Path, engines: readonly Engine[]): readonly Mistake[] {
	const {lengthClasses: {short, long}, weights, readyEngines} = service;
	const mistakes: Mistake[] = [];
	if (short >= long) {
		mistakes.push(impossible([...path, 'lengthClasses', 'short'], `Short prompts end at ${short} tokens, but long ones begin at ${long}.`));
	}

	if (weights.slowdown === 0 && weights.firstToken === 0) {
		mistakes.push(impossible([...path, 'weights'], 'One of the weights must be above 0.'));
	}

	for (const [domain, members] of groupBy(engines, each => each.failureDomain)) {
		if (members.length < readyEngines) {
			const text = `${readyEngines} engines are to stay ready, but the failure domain "${domain}" has ${members.length}.`;
			mistakes.push(impossible([...path, 'readyEngines'], text));
		}
	}

	return mistakes;
}

/** An engine must hold at least a short prompt with its answer. */
function memoryMistakes(configuration: Configuration): readonly Mistake[] {
	const services = new Map(configuration.services.map(each => [each.id, each]));
	return configuration.upstreams.flatMap((upstream, index) => {
		const service = services.get(upstream.service);
		if (upstream.kind !== 'engine' || service?.kind !== 'model') {
			return [];
		}

		const needed = service.lengthClasses.short + service.expectedOutput;
		return upstream.memory < needed
			? [impossible(
				['upstreams', index, 'memory'],
				`${upstream.memory} tokens hold no short prompt of "${service.id}" with its answer, which need ${needed}.`,
			)]
			: [];
	});
}
