/** Configuration of a small test deployment in the operator's format. */
export const apiKey = 'key-of-acme';

/** Engine section of the configuration: a small, fast engine. */
export const engineConfiguration = {
	Slots: 8,
	KvCapacityTokens: 100_000,
	Stride: 10,
	Models: [{Name: 'm'}],
	step_ms: 1,
	per_seq_ms: 0.01,
	context_per_k: 0.01,
	read_per_s: 200_000,
	pairs_per_m: 0.01,
	chunk: 2048,
	usual: {prompt: 5000, answer: 100},
	HopMs: 0.1,
};

/** The same engine as an `EngineModel`. */
export const engineModel = {
	slots: 8, memory: 100_000, stride: 10, step: 1, perRequest: 0.01, perThousand: 0.01, readRate: 200, pairs: 0.01, chunk: 2048, hop: 0.1, usualPrompt: 5000, usualAnswer: 100,
};

type Route = Readonly<Record<string, unknown>>;

/** Routes of the configuration. */
export const routes: readonly Route[] = [
	{
		Name: 'ask', Hostname: 'api.example', Prefix: '/ask/', RouteType: 'streaming', TimeoutMs: 8000, TargetLatencyMs: 300, Priority: 1, Service: 'model', MaxAttempts: 2, SessionAffinity: true, StreamResume: true, GapTargetMs: 250,
	},
	{
		Name: 'once', Hostname: 'api.example', Prefix: '/once/', RouteType: 'unsafe', TimeoutMs: 1500, TargetLatencyMs: 300, Priority: 2, Service: 'plain', MaxAttempts: 2,
	},
	{
		Name: 'read', Hostname: 'api.example', Prefix: '/read/', RouteType: 'safe', TimeoutMs: 1500, TargetLatencyMs: 300, Priority: 2, Service: 'plain', MaxAttempts: 2,
	},
	{
		Name: 'deeper', Hostname: 'api.example', Prefix: '/read/deeper/', RouteType: 'safe', TimeoutMs: 1500, TargetLatencyMs: 300, Priority: 2, Service: 'nowhere', MaxAttempts: 2,
	},
	{
		Name: 'single', Hostname: 'api.example', Prefix: '/single/', RouteType: 'unsafe', TimeoutMs: 1500, TargetLatencyMs: 300, Priority: 2, Service: 'plain', MaxAttempts: 1,
	},
	{
		Name: 'open', Hostname: 'api.example', Prefix: '/open/', RouteType: 'safe', TimeoutMs: 1500, TargetLatencyMs: 300, Priority: 2, Service: 'plain', MaxAttempts: 2, Public: true,
	},
];

/**
 * @param engine - Fields that replace those of the engine section.
 * @returns Services of the configuration.
 */
export function createServices(engine: Readonly<Record<string, unknown>> = {}): readonly unknown[] {
	return [
		{
			Name: 'model', HealthPath: '/healthz', MaxConnections: 100, Protocol: 'h1', Tls: false, Engine: {...engineConfiguration, ...engine},
		},
		{
			Name: 'plain', HealthPath: '/healthz', MaxConnections: 50, Protocol: 'h1', Tls: false,
		},
		{
			Name: 'nowhere', HealthPath: '/healthz', MaxConnections: 50, Protocol: 'h1', Tls: false,
		},
	];
}

/**
 * @param change - Top-level fields that replace the defaults.
 * @returns A configuration in the operator's format.
 */
export function createConfiguration(version: number, change: Readonly<Record<string, unknown>> = {}): unknown {
	return {
		Version: version,
		Routes: routes,
		Services: createServices(),
		Limits: {
			MaxHeaderBytes: 16_384, MaxBodyBytes: 100_000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
		},
		Tenants: [{Name: 'acme', ApiKeys: [apiKey], Priority: 1}],
		...change,
	};
}
