/**
 * Codecs that report every mistake of a document at once instead of the first. A failed decode carries the
 * list of mistakes as JSON; `readMistakes` returns it.
 */
import { Codec, type GetType } from 'purify-ts/Codec'
import { Left, Right, type Either } from 'purify-ts/Either'
import { nestMistakes, type Mistake } from './mistake.js'

/** A codec of a field that may be absent; `absent` gives the value to take instead. */
export interface Checked<T> extends Codec<T> {
  readonly absent?: () => T
}

/** A codec of a field that stays absent. */
export interface Optional<T> extends Checked<T | undefined> {
  readonly optional: true
}

/** The fields of an object by name. */
export interface Fields {
  readonly [name: string]: Checked<any>
}

/** The value that an object of these fields decodes to. */
export type Decoded<T extends Fields> =
  { [K in keyof T as T[K] extends Optional<any> ? never : K]: GetType<T[K]> } &
  { [K in keyof T as T[K] extends Optional<any> ? K : never]?: GetType<T[K]> }

/**
 * Returns the mistakes of a failed decode.
 *
 * @param error the left side of a decode by a codec of this module
 * @returns the mistakes
 */
export function readMistakes (error: string): Mistake[] {
  return JSON.parse(error) as Mistake[]
}

/**
 * Builds a failed decode.
 *
 * @param mistakes at least one mistake
 * @returns the left side for a codec
 */
export function failDecode<T> (mistakes: readonly Mistake[]): Either<string, T> {
  return Left(JSON.stringify(mistakes))
}

/**
 * Makes a codec of one plain value.
 *
 * @param expected what a right value is, as a noun phrase
 * @param accepts tells whether a value is right
 * @param schema JSON schema of the value
 * @returns the codec
 */
export function plain<T> (expected: string, accepts: (value: unknown) => boolean, schema: object): Checked<T> {
  return Codec.custom<T>({
    decode: (value) => accepts(value) ? Right(value as T) : failDecode([describeValue(expected, value)]),
    encode: (value) => value,
    schema: () => schema
  })
}

function describeValue (expected: string, value: unknown): Mistake {
  const shown = JSON.stringify(value) ?? 'nothing'
  const short = shown.length > 60 ? `${shown.slice(0, 57)}...` : shown
  return { path: [], mistake: `${short} is not ${expected}`, mend: `Give ${expected}.` }
}

/** Bounds of a number. */
export interface Range {
  readonly least: number
  readonly most: number
}

/**
 * Makes a codec of a whole number.
 *
 * @param range its bounds, both included
 * @returns the codec
 */
export function integer (range: Range): Checked<number> {
  const expected = `a whole number from ${range.least} to ${range.most}`
  const schema = { type: 'integer', minimum: range.least, maximum: range.most }
  return plain(expected, (value) => Number.isInteger(value) && isWithin(value as number, range), schema)
}

/**
 * Makes a codec of a number with fractions.
 *
 * @param range its bounds, both included
 * @returns the codec
 */
export function decimal (range: Range): Checked<number> {
  const expected = `a number from ${range.least} to ${range.most}`
  const schema = { type: 'number', minimum: range.least, maximum: range.most }
  return plain(expected, (value) => Number.isFinite(value) && isWithin(value as number, range), schema)
}

function isWithin (value: number, range: Range): boolean {
  return value >= range.least && value <= range.most
}

/**
 * Makes a codec of a text.
 *
 * @param expected what a right text is, as a noun phrase
 * @param pattern what the whole text must match
 * @returns the codec
 */
export function text (expected: string, pattern: RegExp): Checked<string> {
  const accepts = (value: unknown): boolean => typeof value === 'string' && pattern.test(value)
  return plain(expected, accepts, { type: 'string', pattern: pattern.source })
}

/**
 * Makes a codec of one of some texts.
 *
 * @param choices the texts
 * @returns the codec
 */
export function choice<T extends string> (choices: readonly T[]): Checked<T> {
  const expected = `one of ${choices.map((each) => `"${each}"`).join(', ')}`
  return plain(expected, (value) => choices.includes(value as T), { enum: [...choices] })
}

/** A codec of true or false. */
export const flag: Checked<boolean> = plain('true or false', (value) => typeof value === 'boolean', { type: 'boolean' })

/** A codec of any JSON value. */
export const anything: Checked<unknown> = plain('a JSON value', () => true, {})

/**
 * Makes a field optional.
 *
 * @param codec codec of the value if it is there
 * @returns the codec of the field
 */
export function maybe<T> (codec: Checked<T>): Optional<T> {
  return { ...(codec as Checked<T | undefined>), absent: () => undefined, optional: true }
}

/**
 * Gives a field a value to take when it is absent.
 *
 * @param codec codec of the value if it is there
 * @param value the default
 * @returns the codec of the field
 */
export function fallback<T> (codec: Checked<T>, value: T): Checked<T> {
  return { ...codec, schema: () => ({ ...codec.schema(), default: value as never }), absent: () => value }
}

/**
 * Makes a codec of a list.
 *
 * @param codec codec of an element
 * @param range bounds of the number of elements
 * @returns the codec
 */
export function list<T> (codec: Checked<T>, range: Range): Checked<readonly T[]> {
  return Codec.custom<readonly T[]>({
    decode: (value) => decodeList(codec, range, value),
    encode: (value) => value,
    schema: () => ({ type: 'array', items: codec.schema(), minItems: range.least, maxItems: range.most })
  })
}

function decodeList<T> (codec: Checked<T>, range: Range, value: unknown): Either<string, readonly T[]> {
  const expected = `a list of ${range.least} to ${range.most} elements`
  if (!Array.isArray(value)) return failDecode([describeValue(expected, value)])
  if (!isWithin(value.length, range)) {
    return failDecode([{ path: [], mistake: `${value.length} elements are not ${expected}`, mend: `Give ${expected}.` }])
  }
  const items: T[] = []
  const mistakes: Mistake[] = []
  for (const [index, item] of value.entries()) {
    const decoded = codec.decode(item)
    if (decoded.isRight()) items.push(decoded.extract() as T)
    else mistakes.push(...nestMistakes(index, readMistakes(decoded.extract() as string)))
  }
  return mistakes.length > 0 ? failDecode(mistakes) : Right(items)
}

/**
 * Makes a codec of an object that has these fields and no others.
 *
 * @param fields codecs of the fields
 * @param rule finds mistakes between fields; called if each field is right by itself
 * @returns the codec
 *
 * @example
 * const TeamCodec = object({ name: NAME, share: decimal({ least: 0, most: 100 }) })
 */
export function object<T extends Fields> (fields: T, rule?: (value: Decoded<T>) => Mistake[]): Checked<Decoded<T>> {
  return Codec.custom<Decoded<T>>({
    decode: (value) => decodeObject(fields, rule, value),
    encode: (value) => value,
    schema: () => describeObject(fields)
  })
}

function decodeObject<T extends Fields> (
  fields: T, rule: ((value: Decoded<T>) => Mistake[]) | undefined, value: unknown
): Either<string, Decoded<T>> {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return failDecode([describeValue('an object', value)])
  }
  const given = value as Record<string, unknown>
  const mistakes = findUnknownFields(fields, given)
  const result: Record<string, unknown> = {}
  for (const [name, codec] of Object.entries(fields)) {
    const field = decodeField(name, codec, given)
    if (field.isLeft()) mistakes.push(...readMistakes(field.extract() as string))
    else if (field.extract() !== undefined) result[name] = field.extract()
  }
  if (mistakes.length > 0) return failDecode(mistakes)
  const broken = rule?.(result as Decoded<T>) ?? []
  return broken.length > 0 ? failDecode(broken) : Right(result as Decoded<T>)
}

function decodeField (name: string, codec: Checked<unknown>, given: Record<string, unknown>): Either<string, unknown> {
  if (Object.hasOwn(given, name) && given[name] !== undefined) {
    return codec.decode(given[name]).mapLeft((error) => JSON.stringify(nestMistakes(name, readMistakes(error))))
  }
  if (codec.absent !== undefined) return Right(codec.absent())
  return failDecode([{ path: [name], mistake: 'the field is missing', mend: `Add the field "${name}".` }])
}

function findUnknownFields (fields: Fields, given: Record<string, unknown>): Mistake[] {
  const mistakes: Mistake[] = []
  const known = Object.keys(fields)
  for (const name of Object.keys(given)) {
    if (known.includes(name)) continue
    mistakes.push({ path: [name], mistake: 'the field is unknown', mend: `Remove it, or use one of: ${known.join(', ')}.` })
  }
  return mistakes
}

function describeObject (fields: Fields): object {
  const properties: Record<string, object> = {}
  const required: string[] = []
  for (const [name, codec] of Object.entries(fields)) {
    properties[name] = codec.schema()
    if (codec.absent === undefined) required.push(name)
  }
  return { type: 'object', properties, required, additionalProperties: false }
}
