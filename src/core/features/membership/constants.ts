/** Times in milliseconds and bounds of membership. */

/** Between heartbeats at few links and at many. */
export const heartbeatIntervalMs = 500;
export const slowHeartbeatIntervalMs = 1000;

/** Other failure domains hear every second heartbeat. */
export const heartbeatsPerOtherDomainHeartbeat = 2;

/** A heartbeat with the whole work in flight comes once in so many. */
export const heartbeatsPerFullHeartbeat = 16;

/** Links from which on heartbeats are slower, and up to which all hosts of a domain link. */
export const fullMeshLimit = 8;

/** Other failure domains that a host links, where there are more. */
export const linkedDomainLimit = 3;

/** Between looks at who is silent and which links are wanted. */
export const sweepIntervalMs = 250;

/** Silence after which a linked peer is suspect, and one heard of through others. */
export const linkedTimeoutMs = 2500;
export const relayedTimeoutMs = 30_000;
export const otherDomainTimeoutMs = 60_000;

/** Silence after which a suspect peer counts as gone, and after which it is forgotten. */
export const deadTimeoutMs = 15_000;
export const removalTimeoutMs = 7_200_000;

/** Silence after which a host that left is forgotten. */
export const leftRemovalTimeoutMs = 60_000;

/** A gone peer is dialled for so long, then another one. */
export const deadPeerDialIntervalMs = 5000;
export const deadPeerDialLimit = 2;

/** How long a new member or a change of phase counts as news. */
export const recentChangeWindowMs = 3000;

/** Bounds of one heartbeat. */
export const maxChangedLoads = 8;
export const maxFullLoads = 128;
export const maxRelayedLoads = 3;
export const maxRelayedPeers = 6;
export const maxRelayedChanges = 8;
export const maxSuspicions = 8;
export const maxMembers = 4;
export const maxFirstMembers = 64;
export const digestPrefixLength = 16;

/** Peers known at most. */
export const peerLimit = 2048;

/** How long a host that has peers waits for their answers before it serves, and how long for a higher revision it has heard of. */
export const peerAnswerTimeoutMs = 3000;
export const adoptionTimeoutMs = 6000;

/** A leaving host stays at least so long, so that late requests get an answer that says it leaves. */
export const minLeavingTimeMs = 2000;

/** Time for running requests of a host that finds its name taken by a newer incarnation. */
export const replacedGraceMs = 600_000;

/** Heartbeats from one that tells the mix of prompt lengths to the next: it changes slowly. */
export const heartbeatsPerPromptMix = 16;
