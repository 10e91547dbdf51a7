/**
 * How long an owner may act without confirmation from the store.
 */

/**
 * Maximum time that an owner acts on its last confirmation from the store. It limits how long a successor has to wait until the
 * previous owner has certainly stopped granting leases.
 */
export const MAX_UNCONFIRMED_OWNERSHIP_MS = 11_000

/**
 * Maximum time that an owner sends starts on its last confirmation from the store. It limits how long a successor keeps the runs of the
 * previous owner whose starts may still be carried out.
 */
export const MAX_UNCONFIRMED_START_MS = 2500
