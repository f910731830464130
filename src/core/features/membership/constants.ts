/** Times in milliseconds and bounds of membership. */

/** Between heartbeats at few links and at many. */
export const beatInterval = 500;
export const slowBeatInterval = 1000;

/** Other failure domains hear every second heartbeat. */
export const farBeats = 2;

/** A heartbeat with the whole work in flight comes once in so many. */
export const wholeBeats = 16;

/** Links from which on heartbeats are slower, and up to which all hosts of a domain link. */
export const meshDegree = 8;

/** Other failure domains that a host links, where there are more. */
export const farLinks = 3;

/** Between looks at who is silent and which links are wanted. */
export const sweepInterval = 250;

/** Silence after which a linked peer is suspect, and one heard of through others. */
export const directSilence = 2500;
export const relayedSilence = 30_000;
export const farSilence = 60_000;

/** Silence after which a suspect peer counts as gone, and after which it is forgotten. */
export const goneSilence = 15_000;
export const forgetSilence = 7_200_000;

/** Silence after which a host that left is forgotten. */
export const leftSilence = 60_000;

/** A gone peer is dialled for so long, then another one. */
export const goneTurn = 5000;
export const goneDialled = 2;

/** How long a new member or a change of phase counts as news. */
export const newsTime = 3000;

/** Bounds of one heartbeat. */
export const loadsTold = 8;
export const wholeLoadsTold = 128;
export const relayedLoadsTold = 3;
export const relayedTold = 6;
export const urgentTold = 8;
export const suspicionsTold = 8;
export const membersTold = 4;
export const membersAtStart = 64;
export const digestLength = 16;

/** Peers known at most. */
export const peerLimit = 2048;

/** How long a host that has peers waits for their answers before it serves, and how long for a higher revision it has heard of. */
export const peersWait = 3000;
export const adoptionWait = 6000;

/** A leaving host stays at least so long, so that late requests get an answer that says it leaves. */
export const leavingLinger = 2000;

/** Time for running requests of a host that finds its name taken by a newer incarnation. */
export const replacedGrace = 600_000;

/** Heartbeats from one that tells the mix of prompt lengths to the next: it changes slowly. */
export const mixInterval = 16;
