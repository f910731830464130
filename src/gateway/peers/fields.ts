/** Fields that messages between hosts have in common. */
import {z} from 'zod';

export const shortText = z.string().max(256);
export const amount = z.number();
export const maxListLength = 4096;

/**
 * Where a relay forwards a message: to the hosts of its failure domain only, or to the relays of the other domains as well. Absent if
 * the message is for the receiver only.
 */
export const audienceSchema = z.enum(['domain', 'fleet']).optional();
