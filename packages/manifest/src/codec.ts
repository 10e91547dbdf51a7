/**
 * Checks manifests and reports every mistake with its place and how to mend it.
 */
import { err, ok, type Result } from 'neverthrow'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import { anything, choice, decimal, fallback, flag, integer, list, maybe, object, readMistakes, text, type Checked } from './check.js'
import { parseJson } from './json.js'
import {
  Measure, Section, type Key, type Manifest, type Objective, type Queue, type Service, type Team, type Upstream, type Weights,
  type Workspace
} from './manifest.js'
import { formatMistakes, type ManifestError, type Mistake } from './mistake.js'
import { findBrokenReferences, findRepeatedNames, type Declared } from './reference.js'

const MOST_OBJECTS = 100_000
const MOST_AMOUNT = 1_000_000_000
const DAY_MS = 86_400_000
const MAX_BODY_CHARACTERS = 65_536

/** A name that can be part of a stream, a job id or a URL. */
export const NameCodec = text(
  'a name of 1 to 63 lower-case letters, digits and inner hyphens', /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/
)

/** A SHA-256 hash. */
export const HashCodec = text('a SHA-256 hash of 64 lower-case hexadecimal digits', /^[0-9a-f]{64}$/)

const amount = integer({ least: 0, most: MOST_AMOUNT })
const positiveAmount = integer({ least: 1, most: MOST_AMOUNT })
const weight = decimal({ least: 0, most: 1_000_000 })

const SizeCodec = object({ cpuMilli: positiveAmount, memoryMb: positiveAmount, accelerators: integer({ least: 0, most: 1024 }) })

const WorkspaceCodec: Checked<Workspace> = object({ name: NameCodec })

const WeightsCodec: Checked<Weights> = object({ waiting: weight, share: weight, packing: weight }, (weights) => {
  if (weights.waiting + weights.share + weights.packing > 0) return []
  return [{ path: [], mistake: 'all weights are zero', mend: 'Give at least one weight above zero.' }]
})

const UpstreamCodec: Checked<Upstream> = object({
  name: NameCodec,
  zones: list(NameCodec, { least: 1, most: 64 }),
  weights: WeightsCodec
}, (upstream) => findRepeats(['zones'], upstream.zones))

const TeamCodec: Checked<Team> = object({
  name: NameCodec,
  workspace: NameCodec,
  share: decimal({ least: 0.001, most: 1_000_000 }),
  upperLimit: object({ tasks: maybe(amount), cpuMilli: maybe(amount), memoryMb: maybe(amount), accelerators: maybe(amount) })
})

const KeyCodec: Checked<Key> = object({ name: NameCodec, team: NameCodec, hash: HashCodec })

const QUEUE_WORKLOADS = [Workload.Request, Workload.Batch, Workload.Gang] as const

const QueueCodec: Checked<Queue> = object({
  name: NameCodec,
  upstream: NameCodec,
  workload: choice(QUEUE_WORKLOADS),
  open: flag,
  teams: list(NameCodec, { least: 1, most: 1000 }),
  idempotent: flag,
  urgency: choice(Object.values(Urgency)),
  size: SizeCodec,
  runtimeMs: integer({ least: 1, most: 30 * DAY_MS }),
  deadlineMs: integer({ least: 0, most: DAY_MS }),
  capacity: integer({ least: 1, most: 1_000_000 }),
  attempts: integer({ least: 1, most: 100 }),
  checkpoint: flag
}, findQueueMistakes)

const ServiceCodec: Checked<Service> = object({
  name: NameCodec,
  team: NameCodec,
  upstream: NameCodec,
  replicas: integer({ least: 0, most: 100_000 }),
  size: SizeCodec,
  body: fallback(anything, null)
}, (service) => {
  const size = JSON.stringify(service.body).length
  if (size <= MAX_BODY_CHARACTERS) return []
  const mistake = `${size} characters are more than ${MAX_BODY_CHARACTERS}`
  return [{ path: ['body'], mistake, mend: 'Keep large data elsewhere and refer to it.' }]
})

const ObjectiveCodec: Checked<Objective> = object({
  name: NameCodec,
  queue: NameCodec,
  measure: choice(Object.values(Measure)),
  target: decimal({ least: 0.5, most: 0.999999 }),
  withinMs: maybe(integer({ least: 1, most: 30 * DAY_MS }))
}, findObjectiveMistakes)

function findQueueMistakes (queue: Queue): Mistake[] {
  const mistakes = findRepeats(['teams'], queue.teams)
  if (!queue.idempotent && queue.attempts > 1) {
    const mistake = `${queue.attempts} attempts at work that is not idempotent`
    mistakes.push({ path: ['attempts'], mistake, mend: 'Set "attempts" to 1, or "idempotent" to true if a second run does no harm.' })
  }
  if (queue.workload === Workload.Request && queue.deadlineMs === 0) {
    mistakes.push({ path: ['deadlineMs'], mistake: 'a queue of requests has no deadline', mend: 'Give a "deadlineMs" of 1 or more.' })
  }
  return mistakes
}

function findObjectiveMistakes (objective: Objective): Mistake[] {
  const hasBound = objective.withinMs !== undefined
  if (objective.measure === Measure.Waiting && !hasBound) {
    return [{ path: ['withinMs'], mistake: 'the measure "waiting" has no bound', mend: 'Add "withinMs".' }]
  }
  if (objective.measure === Measure.Success && hasBound) {
    return [{ path: ['withinMs'], mistake: 'the measure "success" takes no bound', mend: 'Remove "withinMs".' }]
  }
  return []
}

function findRepeats (path: readonly string[], names: readonly string[]): Mistake[] {
  const mistakes: Mistake[] = []
  const seen = new Set<string>()
  for (const [index, name] of names.entries()) {
    if (seen.has(name)) mistakes.push({ path: [...path, index], mistake: `"${name}" stands twice`, mend: 'Remove one of the two.' })
    seen.add(name)
  }
  return mistakes
}

/** The codec of one object of each section. */
export const SECTION_CODECS: { readonly [section in Section]: Checked<any> } = {
  [Section.Workspaces]: WorkspaceCodec,
  [Section.Upstreams]: UpstreamCodec,
  [Section.Teams]: TeamCodec,
  [Section.Keys]: KeyCodec,
  [Section.Queues]: QueueCodec,
  [Section.Services]: ServiceCodec,
  [Section.Objectives]: ObjectiveCodec
}

function section<T> (codec: Checked<T>): Checked<readonly T[]> {
  return fallback(list(codec, { least: 0, most: MOST_OBJECTS }), [])
}

/** The codec of a manifest file. An absent section is empty. */
export const ManifestCodec = object({
  $schema: maybe(text('the address of a schema', /./)),
  workspaces: section(WorkspaceCodec),
  upstreams: section(UpstreamCodec),
  teams: section(TeamCodec),
  keys: section(KeyCodec),
  queues: section(QueueCodec),
  services: section(ServiceCodec),
  objectives: section(ObjectiveCodec)
})

/**
 * Checks a manifest. Reports every mistake at once: shape, ranges, unknown fields, repeated names and references
 * between sections.
 *
 * @param value the parsed JSON of a manifest file
 * @returns the manifest, or all mistakes
 *
 * @example
 * const manifest = parseManifest(JSON.parse(file))
 */
export function parseManifest (value: unknown): Result<Manifest, ManifestError[]> {
  const shape = ManifestCodec.decode(value)
  const mistakes = shape.isLeft() ? readMistakes(shape.extract() as string) : []
  const declared = listDeclared(value)
  mistakes.push(...findRepeatedNames(declared), ...findBrokenReferences(declared))
  if (mistakes.length > 0) return err(formatMistakes(mistakes))
  const { $schema, ...manifest } = shape.unsafeCoerce()
  return ok(manifest)
}

/**
 * Checks a manifest given as JSON text.
 *
 * @param file the content of a manifest file
 * @returns the manifest, or all mistakes; a syntax error comes with line and column
 *
 * @example
 * const manifest = parseManifestText(readFileSync(path, 'utf8'))
 */
export function parseManifestText (file: string): Result<Manifest, ManifestError[]> {
  return parseJson(file).andThen(parseManifest)
}

/**
 * Checks one object of a section by itself, without references to others.
 *
 * @param name the section
 * @param value the object
 * @returns the object as it is kept, or its mistakes
 */
export function parseObject (name: Section, value: unknown): Result<object, Mistake[]> {
  const decoded = SECTION_CODECS[name].decode(value)
  if (decoded.isLeft()) return err(readMistakes(decoded.extract() as string))
  return ok(decoded.extract() as object)
}

function listDeclared (value: unknown): Declared[] {
  const declared: Declared[] = []
  if (typeof value !== 'object' || value === null) return declared
  for (const name of Object.values(Section)) {
    const objects = (value as Record<string, unknown>)[name]
    if (!Array.isArray(objects)) continue
    for (const [index, each] of objects.entries()) {
      const objectName = (each as { name?: unknown } | null)?.name
      if (typeof objectName !== 'string') continue
      const parsed = parseObject(name, each)
      declared.push({ section: name, index, name: objectName, value: parsed.isOk() ? parsed.value : undefined })
    }
  }
  return declared
}
