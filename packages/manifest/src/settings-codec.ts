/**
 * Checks the settings of a daemon and fills in the defaults.
 */
import { isIP } from 'node:net'
import { err, ok, type Result } from 'neverthrow'
import { fallback, choice, integer, list, maybe, object, plain, readMistakes, text, type Checked } from './check.js'
import { HashCodec, NameCodec } from './codec.js'
import { parseJson } from './json.js'
import { formatMistakes, type ManifestError, type Mistake } from './mistake.js'
import type { Limits, Listener, Settings, Timing } from './settings.js'

const MINUTE_MS = 60_000
const MAX_BYTES = 1 << 30

/** Bounds used when the settings give none. */
export const DEFAULT_LIMITS: Limits = { bodyBytes: 1 << 20, headerBytes: 16 << 10, connections: 10_000, requests: 2000 }

/** Times used when the settings give none. */
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

const AddressCodec: Checked<string> = plain(
  'an IP address', (value) => typeof value === 'string' && isIP(value) !== 0, { anyOf: [{ format: 'ipv4' }, { format: 'ipv6' }] }
)

const ListenerCodec: Checked<Listener> = object({ host: AddressCodec, port: integer({ least: 0, most: 65_535 }) })

const UrlCodec = text('a base URL that starts with http:// or https://', /^https?:\/\/[^\s/]+[^\s]*$/)

function bytes (value: number): Checked<number> {
  return fallback(integer({ least: 256, most: MAX_BYTES }), value)
}

function count (value: number): Checked<number> {
  return fallback(integer({ least: 1, most: 10_000_000 }), value)
}

function duration (value: number): Checked<number> {
  return fallback(integer({ least: 1, most: 60 * MINUTE_MS }), value)
}

const LimitsCodec: Checked<Limits> = object({
  bodyBytes: bytes(DEFAULT_LIMITS.bodyBytes),
  headerBytes: bytes(DEFAULT_LIMITS.headerBytes),
  connections: count(DEFAULT_LIMITS.connections),
  requests: count(DEFAULT_LIMITS.requests)
})

const TimingCodec: Checked<Timing> = object({
  heartbeatMs: duration(DEFAULT_TIMING.heartbeatMs),
  silenceMs: duration(DEFAULT_TIMING.silenceMs),
  takeoverMs: duration(DEFAULT_TIMING.takeoverMs),
  leaseMs: duration(DEFAULT_TIMING.leaseMs),
  renewMs: duration(DEFAULT_TIMING.renewMs),
  confirmationMs: duration(DEFAULT_TIMING.confirmationMs),
  commitMs: duration(DEFAULT_TIMING.commitMs),
  staleMs: duration(DEFAULT_TIMING.staleMs),
  drainMs: duration(DEFAULT_TIMING.drainMs)
}, findTimingMistakes)

function findTimingMistakes (timing: Timing): Mistake[] {
  const mistakes: Mistake[] = []
  checkOrder(mistakes, timing, 'heartbeatMs', 'silenceMs')
  checkOrder(mistakes, timing, 'heartbeatMs', 'takeoverMs')
  checkOrder(mistakes, timing, 'renewMs', 'leaseMs')
  checkOrder(mistakes, timing, 'confirmationMs', 'leaseMs')
  return mistakes
}

function checkOrder (mistakes: Mistake[], timing: Timing, shorter: keyof Timing, longer: keyof Timing): void {
  if (timing[shorter] < timing[longer]) return
  const mistake = `${timing[shorter]} is not below "${longer}", which is ${timing[longer]}`
  mistakes.push({ path: [shorter], mistake, mend: `Lower "${shorter}" or raise "${longer}".` })
}

const LOG_LEVELS = ['trace', 'debug', 'info', 'warn', 'error', 'fatal', 'silent'] as const

/** The codec of a settings file. */
export const SettingsCodec = object({
  $schema: maybe(text('the address of a schema', /./)),
  node: NameCodec,
  zone: NameCodec,
  region: NameCodec,
  api: ListenerCodec,
  peer: ListenerCodec,
  platform: object({ log: UrlCodec, machines: UrlCodec }),
  administrators: list(HashCodec, { least: 1, most: 1000 }),
  limits: fallback(LimitsCodec, DEFAULT_LIMITS),
  timing: fallback(TimingCodec, DEFAULT_TIMING),
  log: fallback(object({ level: fallback(choice<string>(LOG_LEVELS), 'info') }), { level: 'info' }),
  metrics: maybe(ListenerCodec)
})

/**
 * Checks settings and fills in the defaults of limits, timing and log.
 *
 * @param value the parsed JSON of a settings file
 * @returns the settings, or all mistakes
 *
 * @example
 * const settings = parseSettings(JSON.parse(file))
 */
export function parseSettings (value: unknown): Result<Settings, ManifestError[]> {
  const decoded = SettingsCodec.decode(value)
  if (decoded.isLeft()) return err(formatMistakes(readMistakes(decoded.extract() as string)))
  const { $schema, ...settings } = decoded.unsafeCoerce()
  return ok(settings)
}

/**
 * Checks settings given as JSON text.
 *
 * @param file the content of a settings file
 * @returns the settings, or all mistakes; a syntax error comes with line and column
 *
 * @example
 * const settings = parseSettingsText(readFileSync(path, 'utf8'))
 */
export function parseSettingsText (file: string): Result<Settings, ManifestError[]> {
  return parseJson(file).andThen(parseSettings)
}
