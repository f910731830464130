/** Intervals, timeouts and size limits of membership. */

/** Interval of heartbeats, for a host with few links and for one with many. */
export const heartbeatIntervalMs = 500;
export const slowHeartbeatIntervalMs = 1000;

/** Every second heartbeat goes to other failure domains as well. */
export const heartbeatsPerOtherDomainHeartbeat = 2;

/** Every 16th heartbeat is full: it carries all work in flight instead of the changes. */
export const heartbeatsPerFullHeartbeat = 16;

/**
 * Hosts of a failure domain with at most this many peers all link each other. A host with more links than this sends slower
 * heartbeats.
 */
export const fullMeshLimit = 8;

/** Other failure domains that a host links at most. */
export const linkedDomainLimit = 3;

/** Interval at which peers are checked for silence and links are updated. */
export const sweepIntervalMs = 250;

/**
 * Silence after which a peer is suspect: a linked one, one without a link in the own failure domain, and one without a link in
 * another failure domain.
 */
export const linkedTimeoutMs = 2500;
export const relayedTimeoutMs = 30_000;
export const otherDomainTimeoutMs = 60_000;

/** Further silence after which a suspect peer is considered dead. */
export const deadTimeoutMs = 15_000;

/** Silence after which a peer is removed, and the shorter one for a peer that was leaving. */
export const removalTimeoutMs = 7_200_000;
export const leftRemovalTimeoutMs = 60_000;

/** Dead peers are dialed a few at a time, in rotation, each for this long. */
export const deadPeerDialIntervalMs = 5000;
export const deadPeerDialLimit = 2;

/** Time for which a new member, a phase change, a lost link or a recovery is sent with priority. */
export const recentChangeWindowMs = 3000;

/** Size limits of one heartbeat. */
export const maxChangedLoads = 8;
export const maxFullLoads = 128;
export const maxRelayedLoads = 3;
export const maxRelayedPeers = 6;
export const maxRelayedChanges = 8;
export const maxSuspicions = 8;
export const maxMembers = 4;

/** Members in the first heartbeat on a link. */
export const maxMembersInFirstHeartbeat = 64;

/** Characters of the configuration digest in a heartbeat. */
export const digestPrefixLength = 16;

/** Peers that are tracked at most. */
export const peerLimit = 2048;

/** Time that a starting host waits for its peers to answer, and to adopt a higher revision that one of them has. */
export const peerAnswerTimeoutMs = 3000;
export const adoptionTimeoutMs = 6000;

/** A leaving host runs at least this long, so that late requests get an answer that says it is leaving. */
export const minLeavingTimeMs = 2000;

/** Time for running requests at a host that finds a newer incarnation of itself. */
export const replacedGraceMs = 600_000;

/** Every 16th heartbeat carries the mix of prompt lengths, which changes slowly. */
export const heartbeatsPerPromptMix = 16;
