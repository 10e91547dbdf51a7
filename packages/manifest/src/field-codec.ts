/**
 * Codecs that report all validation errors of a document instead of only the first. A failed decode carries the list of errors
 * as JSON, which `readErrors` parses.
 */
import { Codec, type GetType } from 'purify-ts/Codec'
import { Left, Right, type Either } from 'purify-ts/Either'
import { nestErrors, type ValidationError } from './validation-error.js'

/** A codec of a value or field. If `absent` is set, the field may be absent, and `absent` returns the value to use instead. */
export interface FieldCodec<T> extends Codec<T> {
  readonly absent?: () => T
}

/** A codec of a field that may be absent and has no default. */
export interface OptionalFieldCodec<T> extends FieldCodec<T | undefined> {
  readonly optional: true
}

/** The codecs of the fields of an object, by field name. */
export interface FieldCodecs {
  readonly [name: string]: FieldCodec<any>
}

/** The type that an object with these fields decodes to. */
export type Decoded<T extends FieldCodecs> =
  { [K in keyof T as T[K] extends OptionalFieldCodec<any> ? never : K]: GetType<T[K]> } &
  { [K in keyof T as T[K] extends OptionalFieldCodec<any> ? K : never]?: GetType<T[K]> }

/**
 * Returns the errors of a failed decode.
 *
 * @param error the left side of a decode by a codec of this module
 * @returns the errors
 */
export function readErrors (error: string): ValidationError[] {
  return JSON.parse(error) as ValidationError[]
}

/**
 * Creates the result of a failed decode.
 *
 * @param errors at least one error
 * @returns the left side that the codec returns
 */
export function createDecodeFailure<T> (errors: readonly ValidationError[]): Either<string, T> {
  return Left(JSON.stringify(errors))
}

/**
 * Creates a codec from a predicate.
 *
 * @param expected a noun phrase that describes a valid value
 * @param accepts returns whether a value is valid
 * @param schema JSON schema of the value
 * @returns the codec
 */
export function customCodec<T> (expected: string, accepts: (value: unknown) => boolean, schema: object): FieldCodec<T> {
  return Codec.custom<T>({
    decode: (value) => accepts(value) ? Right(value as T) : createDecodeFailure([describeInvalidValue(expected, value)]),
    encode: (value) => value,
    schema: () => schema
  })
}

function describeInvalidValue (expected: string, value: unknown): ValidationError {
  const json = JSON.stringify(value) ?? 'nothing'
  const excerpt = json.length > 60 ? `${json.slice(0, 57)}...` : json
  return { path: [], mistake: `${excerpt} is not ${expected}`, mend: `Give ${expected}.` }
}

/** Bounds of a number or a length, both included. */
export interface Range {
  readonly min: number
  readonly max: number
}

/**
 * Creates a codec of an integer.
 *
 * @param range its bounds
 * @returns the codec
 */
export function integer (range: Range): FieldCodec<number> {
  const expected = `a whole number from ${range.min} to ${range.max}`
  const schema = { type: 'integer', minimum: range.min, maximum: range.max }
  return customCodec(expected, (value) => Number.isInteger(value) && isInRange(value as number, range), schema)
}

/**
 * Creates a codec of a number that may have a fraction.
 *
 * @param range its bounds
 * @returns the codec
 */
export function decimal (range: Range): FieldCodec<number> {
  const expected = `a number from ${range.min} to ${range.max}`
  const schema = { type: 'number', minimum: range.min, maximum: range.max }
  return customCodec(expected, (value) => Number.isFinite(value) && isInRange(value as number, range), schema)
}

function isInRange (value: number, range: Range): boolean {
  return value >= range.min && value <= range.max
}

/**
 * Creates a codec of a string.
 *
 * @param expected a noun phrase that describes a valid string
 * @param pattern pattern that the string must match
 * @returns the codec
 */
export function text (expected: string, pattern: RegExp): FieldCodec<string> {
  const accepts = (value: unknown): boolean => typeof value === 'string' && pattern.test(value)
  return customCodec(expected, accepts, { type: 'string', pattern: pattern.source })
}

/**
 * Creates a codec of a string out of a fixed set.
 *
 * @param choices the valid strings
 * @returns the codec
 */
export function choice<T extends string> (choices: readonly T[]): FieldCodec<T> {
  const expected = `one of ${choices.map((each) => `"${each}"`).join(', ')}`
  return customCodec(expected, (value) => choices.includes(value as T), { enum: [...choices] })
}

/** A codec of a boolean. */
export const flag: FieldCodec<boolean> = customCodec('true or false', (value) => typeof value === 'boolean', { type: 'boolean' })

/** A codec of any JSON value. */
export const anything: FieldCodec<unknown> = customCodec('a JSON value', () => true, {})

/**
 * Makes a field optional.
 *
 * @param codec codec of the value if it is present
 * @returns the codec of the field
 */
export function optional<T> (codec: FieldCodec<T>): OptionalFieldCodec<T> {
  return { ...(codec as FieldCodec<T | undefined>), absent: () => undefined, optional: true }
}

/**
 * Gives a field a default, which is used if the field is absent.
 *
 * @param codec codec of the value if it is present
 * @param value the default
 * @returns the codec of the field
 */
export function withDefault<T> (codec: FieldCodec<T>, value: T): FieldCodec<T> {
  return { ...codec, schema: () => ({ ...codec.schema(), default: value as never }), absent: () => value }
}

/**
 * Creates a codec of a list.
 *
 * @param codec codec of an element
 * @param range bounds of the number of elements
 * @returns the codec
 */
export function list<T> (codec: FieldCodec<T>, range: Range): FieldCodec<readonly T[]> {
  return Codec.custom<readonly T[]>({
    decode: (value) => decodeList(codec, range, value),
    encode: (value) => value,
    schema: () => ({ type: 'array', items: codec.schema(), minItems: range.min, maxItems: range.max })
  })
}

function decodeList<T> (codec: FieldCodec<T>, range: Range, value: unknown): Either<string, readonly T[]> {
  const expected = `a list of ${range.min} to ${range.max} elements`
  if (!Array.isArray(value)) return createDecodeFailure([describeInvalidValue(expected, value)])
  if (!isInRange(value.length, range)) {
    return createDecodeFailure([{ path: [], mistake: `${value.length} elements are not ${expected}`, mend: `Give ${expected}.` }])
  }
  const items: T[] = []
  const errors: ValidationError[] = []
  for (const [index, item] of value.entries()) {
    const decoded = codec.decode(item)
    if (decoded.isRight()) items.push(decoded.extract() as T)
    else errors.push(...nestErrors(index, readErrors(decoded.extract() as string)))
  }
  return errors.length > 0 ? createDecodeFailure(errors) : Right(items)
}

/**
 * Creates a codec of an object that has these fields and no others.
 *
 * @param fields codecs of the fields
 * @param rule returns the errors that concern several fields together; called only if each field is valid by itself
 * @returns the codec
 *
 * @example
 * const TeamCodec = object({ name: NameCodec, share: decimal({ min: 0, max: 100 }) })
 */
export function object<T extends FieldCodecs> (
  fields: T, rule?: (value: Decoded<T>) => ValidationError[]
): FieldCodec<Decoded<T>> {
  return Codec.custom<Decoded<T>>({
    decode: (value) => decodeObject(fields, rule, value),
    encode: (value) => value,
    schema: () => createObjectSchema(fields)
  })
}

function decodeObject<T extends FieldCodecs> (
  fields: T, rule: ((value: Decoded<T>) => ValidationError[]) | undefined, value: unknown
): Either<string, Decoded<T>> {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return createDecodeFailure([describeInvalidValue('an object', value)])
  }
  const given = value as Record<string, unknown>
  const errors = findUnknownFields(fields, given)
  const result: Record<string, unknown> = {}
  for (const [name, codec] of Object.entries(fields)) {
    const field = decodeField(name, codec, given)
    if (field.isLeft()) errors.push(...readErrors(field.extract() as string))
    else if (field.extract() !== undefined) result[name] = field.extract()
  }
  if (errors.length > 0) return createDecodeFailure(errors)
  const ruleErrors = rule?.(result as Decoded<T>) ?? []
  return ruleErrors.length > 0 ? createDecodeFailure(ruleErrors) : Right(result as Decoded<T>)
}

function decodeField (name: string, codec: FieldCodec<unknown>, given: Record<string, unknown>): Either<string, unknown> {
  if (Object.hasOwn(given, name) && given[name] !== undefined) {
    return codec.decode(given[name]).mapLeft((error) => JSON.stringify(nestErrors(name, readErrors(error))))
  }
  if (codec.absent !== undefined) return Right(codec.absent())
  return createDecodeFailure([{ path: [name], mistake: 'the field is missing', mend: `Add the field "${name}".` }])
}

function findUnknownFields (fields: FieldCodecs, given: Record<string, unknown>): ValidationError[] {
  const errors: ValidationError[] = []
  const known = Object.keys(fields)
  for (const name of Object.keys(given)) {
    if (known.includes(name)) continue
    errors.push({ path: [name], mistake: 'the field is unknown', mend: `Remove it, or use one of: ${known.join(', ')}.` })
  }
  return errors
}

function createObjectSchema (fields: FieldCodecs): object {
  const properties: Record<string, object> = {}
  const required: string[] = []
  for (const [name, codec] of Object.entries(fields)) {
    properties[name] = codec.schema()
    if (codec.absent === undefined) required.push(name)
  }
  return { type: 'object', properties, required, additionalProperties: false }
}
