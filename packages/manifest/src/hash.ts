/**
 * Hashes of keys. Only hashes are stored, never secrets.
 */
import { createHash } from 'node:crypto'

/**
 * Hashes a key's secret.
 *
 * @param secret the secret: the part of a caller's key after the last dot, or a whole administration key
 * @returns its SHA-256 hash in lower-case hexadecimal
 *
 * @example
 * const key = { name: 'kiosk', team: 'guild', hash: hashSecret(secret) }
 */
export function hashSecret (secret: string): string {
  return createHash('sha256').update(secret, 'utf8').digest('hex')
}
