/**
 * Decoding of values that other processes wrote.
 */
import { err, ok, type Result } from 'neverthrow'
import type { Codec } from 'purify-ts/Codec'

/** Maximum length of the text about a mistake. The text quotes the value, which can be of any size. */
const MAX_MISTAKE_LENGTH = 300

/**
 * Decodes a value with a codec.
 *
 * @param codec the codec
 * @param value the value, of any type
 * @returns the decoded value, or a short text that says why it is invalid
 *
 * @example
 * const machine = decodeWith(MachineCodec, JSON.parse(text))
 */
export function decodeWith<T> (codec: Pick<Codec<T>, 'decode'>, value: unknown): Result<T, string> {
  try {
    return codec.decode(value).caseOf<Result<T, string>>({
      Left: (mistake) => err(mistake.slice(0, MAX_MISTAKE_LENGTH)),
      Right: (decoded) => ok(decoded)
    })
  } catch (error) {
    // The codec quotes an invalid value in its text, which fails if the value is nested too deeply.
    return err(`The value cannot be decoded: ${String(error).slice(0, MAX_MISTAKE_LENGTH)}`)
  }
}
