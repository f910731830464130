/** Finds the route and the organisation of a request in the active configuration. */
import {
	type GatewayConfiguration, type GatewayOrganisation, type GatewayService, type Route,
} from '../types.js';

export type Resolution
	= | {readonly type: 'no-route'}
		| {readonly type: 'unknown-key'; readonly route: Route}
		| {readonly type: 'routed'; readonly route: Route; readonly organisation?: GatewayOrganisation};

/** Index of one configuration. */
export class Directory {
	readonly #configuration: GatewayConfiguration;
	/** By authority and prefix. */
	readonly #routes = new Map<string, Map<string, Route>>();
	readonly #keys = new Map<string, GatewayOrganisation>();
	readonly #services: ReadonlyMap<string, GatewayService>;

	/**
	 * @param configuration - Active configuration.
	 */
	constructor(configuration: GatewayConfiguration) {
		this.#configuration = configuration;
		for (const route of configuration.routes) {
			this.#prefixes(route.authority).set(route.prefix, route);
		}

		for (const organisation of configuration.organisations ?? []) {
			for (const key of organisation.keys) {
				this.#keys.set(key, organisation);
			}
		}

		this.#services = new Map(configuration.services.map(service => [service.name, service]));
	}

	get configuration(): GatewayConfiguration {
		return this.#configuration;
	}

	/**
	 * @param name - Service.
	 * @returns The service, or undefined if it is not configured.
	 */
	service(name: string): GatewayService | undefined {
		return this.#services.get(name);
	}

	/**
	 * @param authority - Host and port in the request.
	 * @param path - Path without its query.
	 * @param key - API key, if the caller sent one.
	 * @returns The route with the longest matching prefix and the organisation of the caller, or why there is none.
	 */
	resolve(authority: string, path: string, key: string | undefined): Resolution {
		const route = this.#route(authority, path);
		if (route === undefined) {
			return {type: 'no-route'};
		}

		const organisation = key === undefined ? undefined : this.#keys.get(key);
		if (organisation === undefined && !route.isPublic && this.#configuration.organisations !== undefined) {
			return {type: 'unknown-key', route};
		}

		return {type: 'routed', route, organisation};
	}

	#route(authority: string, path: string): Route | undefined {
		const prefixes = this.#routes.get(authority.toLowerCase());
		if (prefixes === undefined) {
			return undefined;
		}

		for (let end = path.lastIndexOf('/'); end !== -1; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
			const route = prefixes.get(path.slice(0, end + 1));
			if (route !== undefined) {
				return route;
			}
		}

		return undefined;
	}

	#prefixes(authority: string): Map<string, Route> {
		const name = authority.toLowerCase();
		const known = this.#routes.get(name) ?? new Map<string, Route>();
		this.#routes.set(name, known);
		return known;
	}
}

/**
 * @param route - Route.
 * @param random - Uniform from 0 to 1.
 * @returns Name of one of the target services, chosen by weight; empty if the route has none.
 */
export function chooseService({targets}: Route, random: number): string {
	let total = 0;
	for (const target of targets) {
		total += target.weight;
	}

	let remaining = random * total;
	for (const target of targets) {
		remaining -= target.weight;
		if (remaining < 0) {
			return target.service;
		}
	}

	return targets.at(-1)?.service ?? '';
}
