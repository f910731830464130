/** Finds limits that contradict each other or that the upstreams cannot meet. */
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
 * @param configuration - Document that matches the schema.
 * @returns One mistake per limit that cannot be met.
 */
export function findCapacityMistakes(configuration: Configuration): readonly Mistake[] {
	const engines = groupBy(
		configuration.upstreams.filter(each => each.kind === 'engine'),
		each => each.service,
	);
	return [
		...configuration.services.flatMap((service, index) => [
			...findDeadlineMistakes(service, ['services', index]),
			...(service.kind === 'model' ? findModelServiceMistakes(service, ['services', index], engines.get(service.id) ?? []) : []),
		]),
		...findMemoryMistakes(configuration),
	];
}

function createMistake(path: Path, text: string): Mistake {
	return {path: formatPath(path), code: 'impossibleLimit', text};
}

function findDeadlineMistakes({deadline}: Service, path: Path): readonly Mistake[] {
	return deadline.default > deadline.most
		? [createMistake([...path, 'deadline', 'default'], `The default of ${deadline.default} ms is above the most, ${deadline.most} ms.`)]
		: [];
}

function findModelServiceMistakes(service: ModelService, path: Path, engines: readonly Engine[]): readonly Mistake[] {
	const {lengthClasses: {short, long}, weights, readyEngines} = service;
	const mistakes: Mistake[] = [];
	if (short >= long) {
		mistakes.push(createMistake([...path, 'lengthClasses', 'short'], `Short prompts end at ${short} tokens, but long ones begin at ${long}.`));
	}

	if (weights.slowdown === 0 && weights.firstToken === 0) {
		mistakes.push(createMistake([...path, 'weights'], 'One of the weights must be above 0.'));
	}

	for (const [failureDomain, domainEngines] of groupBy(engines, each => each.failureDomain)) {
		if (domainEngines.length < readyEngines) {
			const text = `${readyEngines} engines must stay ready, but the failure domain "${failureDomain}" has ${domainEngines.length}.`;
			mistakes.push(createMistake([...path, 'readyEngines'], text));
		}
	}

	return mistakes;
}

/** The memory of an engine must hold at least a short prompt and its answer. */
function findMemoryMistakes(configuration: Configuration): readonly Mistake[] {
	const services = new Map(configuration.services.map(each => [each.id, each]));
	return configuration.upstreams.flatMap((upstream, index) => {
		const service = services.get(upstream.service);
		if (upstream.kind !== 'engine' || service?.kind !== 'model') {
			return [];
		}

		const neededTokens = service.lengthClasses.short + service.expectedOutput;
		return upstream.memory < neededTokens
			? [createMistake(
				['upstreams', index, 'memory'],
				`${upstream.memory} tokens are too few for a short prompt of "${service.id}" with its answer, which needs ${neededTokens}.`,
			)]
			: [];
	});
}
