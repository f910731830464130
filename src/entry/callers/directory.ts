/** Looks up organisations by API key and services by name, with an index that is rebuilt when the configuration changes. */
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

function createIndex(configuration: Configuration): Index {
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
	 */
	findOrganisation(configuration: Configuration, key: string): Organisation | undefined {
		const hash = createHash('sha256').update(key).digest('hex');
		return this.#getIndex(configuration).organisations.get(hash);
	}

	/**
	 * @param configuration - Configuration in force.
	 * @param name - Id of the service.
	 */
	findService(configuration: Configuration, name: string): Service | undefined {
		return this.#getIndex(configuration).services.get(name);
	}

	/**
	 * @param configuration - Configuration in force.
	 * @param name - Id of a model service, or the name of the model that it serves.
	 */
	findModelService(configuration: Configuration, name: string): ModelService | undefined {
		const serviceByName = this.findService(configuration, name);
		return serviceByName?.kind === 'model' ? serviceByName : this.#getIndex(configuration).models.get(name);
	}

	#getIndex(configuration: Configuration): Index {
		if (this.#index?.configuration !== configuration) {
			this.#index = createIndex(configuration);
		}

		return this.#index;
	}
}
