/** Finds organisations by API key and services by name in the configuration in force. */
import {createHash} from 'node:crypto';
import {
	type Configuration,
	type ModelService,
	type Organisation,
	type Service,
} from '../../core/index.js';

type Index = {
	readonly configuration: Configuration;
	readonly organisations: ReadonlyMap<string, Organisation>;
	readonly services: ReadonlyMap<string, Service>;
	readonly models: ReadonlyMap<string, ModelService>;
};

function index(configuration: Configuration): Index {
	const models = configuration.services.filter(service => service.kind === 'model');
	return {
		configuration,
		organisations: new Map(configuration.organisations.flatMap(organisation =>
			organisation.keyHashes.map(hash => [hash, organisation] as const))),
		services: new Map(configuration.services.map(service => [service.id, service])),
		models: new Map(models.map(service => [service.model, service])),
	};
}

export class Directory {
	#index: Index | undefined;

	/**
	 * @param configuration - Configuration in force.
	 * @param key - API key.
	 * @returns The organisation it belongs to.
	 */
	organisation(configuration: Configuration, key: string): Organisation | undefined {
		const hash = createHash('sha256').update(key).digest('hex');
		return this.#of(configuration).organisations.get(hash);
	}

	/**
	 * @param configuration - Configuration in force.
	 * @param name - Service.
	 * @returns The service.
	 */
	service(configuration: Configuration, name: string): Service | undefined {
		return this.#of(configuration).services.get(name);
	}

	/**
	 * @param configuration - Configuration in force.
	 * @param name - Model service, or the model that one serves.
	 * @returns The service.
	 */
	modelService(configuration: Configuration, name: string): ModelService | undefined {
		const named = this.service(configuration, name);
		return named?.kind === 'model' ? named : this.#of(configuration).models.get(name);
	}

	#of(configuration: Configuration): Index {
		if (this.#index?.configuration !== configuration) {
			this.#index = index(configuration);
		}

		return this.#index;
	}
}
