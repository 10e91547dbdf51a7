/**
 * Validates the settings of a daemon and fills in the defaults.
 */
import { isIP } from 'node:net'
import { err, ok, type Result } from 'neverthrow'
import {
  choice, customCodec, integer, list, object, optional, readErrors, text, withDefault, type FieldCodec
} from './field-codec.js'
import { HashCodec, NameCodec } from './codec.js'
import { parseJson } from './json.js'
import { formatErrors, type ManifestError, type ValidationError } from './validation-error.js'
import type { Limits, Listener, Settings, Timing } from './settings.js'

const MINUTE_MS = 60_000
const MAX_BYTES = 1 << 30
const DURATION = { min: 1, max: 60 * MINUTE_MS }

/** Limits that apply if the settings specify none. */
export const DEFAULT_LIMITS: Limits = { bodyBytes: 1 << 20, headerBytes: 16 << 10, connections: 10_000, requests: 2000 }

/** Times that apply if the settings specify none. */
export const DEFAULT_TIMING: Timing = {
  heartbeatMs: 250,
  silenceMs: 1000,
  takeoverMs: 800,
  leaseMs: 8000,
  renewMs: 2000,
  confirmationMs: 3000,
  commitMs: 20,
  staleMs: 15_000,
  drainMs: 10_000
}

const AddressCodec: FieldCodec<string> = customCodec(
  'an IP address', (value) => typeof value === 'string' && isIP(value) !== 0, { anyOf: [{ format: 'ipv4' }, { format: 'ipv6' }] }
)

const ListenerCodec: FieldCodec<Listener> = object({ host: AddressCodec, port: integer({ min: 0, max: 65_535 }) })

const UrlCodec = text('a base URL that starts with http:// or https://', /^https?:\/\/[^\s/]+[^\s]*$/)

function byteCount (defaultValue: number): FieldCodec<number> {
  return withDefault(integer({ min: 256, max: MAX_BYTES }), defaultValue)
}

function count (defaultValue: number): FieldCodec<number> {
  return withDefault(integer({ min: 1, max: 10_000_000 }), defaultValue)
}

function duration (defaultValue: number): FieldCodec<number> {
  return withDefault(integer(DURATION), defaultValue)
}

const LimitsCodec: FieldCodec<Limits> = object({
  bodyBytes: byteCount(DEFAULT_LIMITS.bodyBytes),
  headerBytes: byteCount(DEFAULT_LIMITS.headerBytes),
  connections: count(DEFAULT_LIMITS.connections),
  requests: count(DEFAULT_LIMITS.requests),
  requestsPerConnection: optional(integer({ min: 1, max: 10_000 })),
  progressBytes: optional(integer({ min: 1 << 20, max: Number.MAX_SAFE_INTEGER })),
  headMs: optional(integer(DURATION)),
  receiveMs: optional(integer(DURATION)),
  answerMs: optional(integer(DURATION))
})

const TimingCodec: FieldCodec<Timing> = object({
  heartbeatMs: duration(DEFAULT_TIMING.heartbeatMs),
  silenceMs: duration(DEFAULT_TIMING.silenceMs),
  takeoverMs: duration(DEFAULT_TIMING.takeoverMs),
  leaseMs: duration(DEFAULT_TIMING.leaseMs),
  renewMs: duration(DEFAULT_TIMING.renewMs),
  confirmationMs: duration(DEFAULT_TIMING.confirmationMs),
  commitMs: duration(DEFAULT_TIMING.commitMs),
  staleMs: duration(DEFAULT_TIMING.staleMs),
  drainMs: duration(DEFAULT_TIMING.drainMs)
}, findTimingErrors)

function findTimingErrors (timing: Timing): ValidationError[] {
  const errors: ValidationError[] = []
  // heartbeatMs must be less than silenceMs: otherwise a connection would be closed as silent between two pings.
  checkIsShorter(errors, timing, 'heartbeatMs', 'silenceMs')
  // heartbeatMs must be less than takeoverMs: otherwise a standby would take over between two polls of an owner that answers.
  checkIsShorter(errors, timing, 'heartbeatMs', 'takeoverMs')
  // renewMs must be less than leaseMs: otherwise a lease would expire between two renewals.
  checkIsShorter(errors, timing, 'renewMs', 'leaseMs')
  // The time for which an owner may act without a new confirmation must be shorter than a lease of its workers.
  checkIsShorter(errors, timing, 'confirmationMs', 'leaseMs')
  return errors
}

function checkIsShorter (errors: ValidationError[], timing: Timing, shorter: keyof Timing, longer: keyof Timing): void {
  if (timing[shorter] < timing[longer]) return
  const mistake = `${timing[shorter]} is not less than "${longer}", which is ${timing[longer]}`
  errors.push({ path: [shorter], mistake, mend: `Reduce "${shorter}" or increase "${longer}".` })
}

const LOG_LEVELS = ['trace', 'debug', 'info', 'warn', 'error', 'fatal', 'silent'] as const

/** The codec of a settings file. */
export const SettingsCodec = object({
  $schema: optional(text('the address of a schema', /./)),
  node: NameCodec,
  zone: NameCodec,
  region: NameCodec,
  api: ListenerCodec,
  peer: ListenerCodec,
  platform: object({ log: UrlCodec, machines: UrlCodec }),
  administrators: list(HashCodec, { min: 1, max: 1000 }),
  limits: withDefault(LimitsCodec, DEFAULT_LIMITS),
  timing: withDefault(TimingCodec, DEFAULT_TIMING),
  log: withDefault(object({ level: withDefault(choice<string>(LOG_LEVELS), 'info') }), { level: 'info' }),
  metrics: optional(ListenerCodec)
})

/**
 * Validates settings and fills in the defaults of limits, timing and log.
 *
 * @param value the parsed JSON of a settings file
 * @returns the settings, or all errors
 *
 * @example
 * const settings = parseSettings(JSON.parse(file))
 */
export function parseSettings (value: unknown): Result<Settings, ManifestError[]> {
  const decoded = SettingsCodec.decode(value)
  if (decoded.isLeft()) return err(formatErrors(readErrors(decoded.extract() as string)))
  const { $schema, ...settings } = decoded.unsafeCoerce()
  return ok(settings)
}

/**
 * Parses and validates the JSON text of settings.
 *
 * @param file the content of a settings file
 * @returns the settings, or all errors; syntax errors contain line and column
 *
 * @example
 * const settings = parseSettingsText(readFileSync(path, 'utf8'))
 */
export function parseSettingsText (file: string): Result<Settings, ManifestError[]> {
  return parseJson(file).andThen(parseSettings)
}
