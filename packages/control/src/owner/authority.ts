/**
 * How long an owner may act without the store.
 */

/** Longest time that the owner acts without the store. Bounds what a successor has to wait for. */
export const AUTHORITY_MS = 11_000
