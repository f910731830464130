/* eslint camelcase: 'off' -- Names of the platform's configuration. */
/** Configuration of a small deployment: a pool of model engines, and a portal for calls that may, and may not, be repeated. */

export const key = 'n2ctnfzs989anu6wsjnb';
export const authority = 'ficu95.example';

const route = {Hostname: authority, Priority: 1, MaxAttempts: 2};

export const configuration = {
	Version: 1,
	Routes: [
		{
			...route,
			Name: 'crew-query',
			Prefix: '/lohu930/',
			RouteType: 'streaming',
			TimeoutMs: 10_000,
			TargetLatencyMs: 300,
			Service: 'pool',
			SessionAffinity: true,
			StreamResume: true,
			GapTargetMs: 250,
		},
		{
			...route,
			Name: 'dossier-review',
			Prefix: '/volo102/',
			RouteType: 'streaming',
			TimeoutMs: 15_000,
			TargetLatencyMs: 2500,
			Service: 'pool',
			SessionAffinity: true,
			StreamResume: true,
			GapTargetMs: 1000,
		},
		{
			...route, Name: 'member-booking', Prefix: '/cuti104/', RouteType: 'safe', TimeoutMs: 1200, TargetLatencyMs: 150, Service: 'portal',
		},
		{
			...route, Name: 'dues-payment', Prefix: '/puxa403/', RouteType: 'unsafe', TimeoutMs: 1200, TargetLatencyMs: 150, Service: 'portal', MaxAttempts: 1,
		},
	],
	Services: [
		{
			Name: 'pool',
			HealthPath: '/healthz',
			MaxConnections: 344,
			Engine: {
				Slots: 11,
				KvCapacityTokens: 232_000,
				Stride: 43,
				step_ms: 1.02,
				per_seq_ms: 0.002_26,
				context_per_k: 0.004_31,
				read_per_s: 206_000,
				pairs_per_m: 0.138,
				chunk: 2048,
				usual: {prompt: 5000, answer: 1300},
				HopMs: 0.075,
			},
		},
		{Name: 'portal', HealthPath: '/healthz', MaxConnections: 49},
	],
	Limits: {
		MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
	},
	Tenants: [{Name: 'hule930', ApiKeys: [key]}],
};

/**
 * @param id - Id of a client attempt.
 * @param deadline - Milliseconds that the client waits.
 * @returns Headers of a client's request.
 */
export function createHeaders(id, deadline) {
	return {
		Host: authority, Authorization: `Bearer ${key}`, 'X-Request-Id': id, 'X-Deadline-Ms': String(deadline),
	};
}

/**
 * @param service - Service of an engine or a plain server.
 * @param port - Its port.
 * @param zone - Its zone.
 * @returns Its entry in the store.
 */
export function createEntry(service, port, zone) {
	return {
		Service: service, Address: `127.0.0.1:${port}`, Zone: zone, Version: 'v1', Slots: service === 'pool' ? 11 : 6, State: 'ready', ColdRemainingMs: 0, Sequence: 1,
	};
}
