/**
 * How long an owner may act without confirmation from the store.
 */

/**
 * Maximum time that an owner acts on its last confirmation from the store. It limits how long a successor has to wait until the
 * previous owner has certainly stopped granting leases.
 */
export const MAX_UNCONFIRMED_OWNERSHIP_MS = 11_000
