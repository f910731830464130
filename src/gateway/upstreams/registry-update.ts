/** Message content with the state of the registry that hosts send each other. */
import {type StorePosition} from '../../core/gateway/registry/position.js';
import {type GatewayUpstream} from '../../core/gateway/types.js';

/** State of the registry that hosts send each other, with the position of the store up to which the sender knows every change. */
export type RegistryUpdate = StorePosition & {
	/** Milliseconds since the sender learned of the era; absent if unknown. */
	readonly eraAge?: number;
	/** Revision of the last change, in the same era. */
	readonly changed: number;
	/** All upstreams registered as of the position; absent if the receiver has the same. */
	readonly upstreams?: readonly GatewayUpstream[];
	/** Registrations that a backup of the store brought back after their removal; sent with `upstreams`. */
	readonly withheld?: readonly GatewayUpstream[];
	/** Evacuated failure domains; sent with `upstreams`, absent from a host that doesn't know of evacuations. */
	readonly evacuated?: readonly string[];
	/** Upstreams whose registration is gone and that the sender keeps in use, as it may merely have expired; absent means none. */
	readonly kept?: readonly string[];
};
