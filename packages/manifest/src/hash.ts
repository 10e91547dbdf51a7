/**
 * Hashes of keys. Secrets are never kept.
 */
import { createHash } from 'node:crypto'

/**
 * Hashes a key's secret.
 *
 * @param secret the secret as callers send it
 * @returns its SHA-256 in lower-case hexadecimal
 *
 * @example
 * const key = { name: 'kiosk', team: 'guild', hash: hashSecret(secret) }
 */
export function hashSecret (secret: string): string {
  return createHash('sha256').update(secret, 'utf8').digest('hex')
}
