/**
 * Validates manifests and reports every error with its path and how to fix it.
 */
import { err, ok, type Result } from 'neverthrow'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import {
  anything, choice, decimal, flag, integer, list, object, optional, readErrors, text, withDefault, type FieldCodec
} from './field-codec.js'
import { parseJson } from './json.js'
import {
  Measure, Section, type Key, type Manifest, type Objective, type Queue, type Service, type Team, type Upstream, type Weights,
  type Workspace
} from './manifest.js'
import { formatErrors, type ManifestError, type ValidationError } from './validation-error.js'
import { findDuplicateNamesAndHashes, findUndeclaredReferences, type DeclaredObject } from './reference.js'

const MAX_OBJECTS = 100_000
/** Largest number of tasks, thousandths of a core, or MB. */
const MAX_AMOUNT = 1_000_000_000
const DAY_MS = 86_400_000
const MAX_BODY_CHARACTERS = 65_536

/** A name that can be part of a stream name, a job id or a URL. */
export const NameCodec = text(
  'a name of 1 to 63 lower-case letters, digits and inner hyphens', /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/
)

/** A SHA-256 hash. */
export const HashCodec = text('a SHA-256 hash of 64 lower-case hexadecimal digits', /^[0-9a-f]{64}$/)

const amount = integer({ min: 0, max: MAX_AMOUNT })
const positiveAmount = integer({ min: 1, max: MAX_AMOUNT })
const weight = decimal({ min: 0, max: 1_000_000 })

const SizeCodec = object({ cpuMilli: positiveAmount, memoryMb: positiveAmount, accelerators: integer({ min: 0, max: 1024 }) })

const WorkspaceCodec: FieldCodec<Workspace> = object({ name: NameCodec })

const WeightsCodec: FieldCodec<Weights> = object({ waiting: weight, share: weight, packing: weight }, (weights) => {
  if (weights.waiting + weights.share + weights.packing > 0) return []
  return [{ path: [], mistake: 'all weights are zero', mend: 'Give at least one weight above zero.' }]
})

const UpstreamCodec: FieldCodec<Upstream> = object({
  name: NameCodec,
  zones: list(NameCodec, { min: 1, max: 64 }),
  weights: WeightsCodec
}, (upstream) => findDuplicates(['zones'], upstream.zones))

const TeamCodec: FieldCodec<Team> = object({
  name: NameCodec,
  workspace: NameCodec,
  share: decimal({ min: 0.001, max: 1_000_000 }),
  upperLimit: object({
    tasks: optional(amount), cpuMilli: optional(amount), memoryMb: optional(amount), accelerators: optional(amount)
  })
})

const KeyCodec: FieldCodec<Key> = object({ name: NameCodec, team: NameCodec, hash: HashCodec })

const QUEUE_WORKLOADS = [Workload.Request, Workload.Batch, Workload.Gang] as const

const QueueCodec: FieldCodec<Queue> = object({
  name: NameCodec,
  upstream: NameCodec,
  workload: choice(QUEUE_WORKLOADS),
  open: flag,
  teams: list(NameCodec, { min: 1, max: 1000 }),
  idempotent: flag,
  urgency: choice(Object.values(Urgency)),
  size: SizeCodec,
  runtimeMs: integer({ min: 1, max: 30 * DAY_MS }),
  deadlineMs: integer({ min: 0, max: DAY_MS }),
  capacity: integer({ min: 1, max: 1_000_000 }),
  attempts: integer({ min: 1, max: 100 }),
  checkpoint: flag
}, findQueueErrors)

const ServiceCodec: FieldCodec<Service> = object({
  name: NameCodec,
  team: NameCodec,
  upstream: NameCodec,
  replicas: integer({ min: 0, max: 100_000 }),
  size: SizeCodec,
  body: withDefault(anything, null)
}, (service) => {
  const size = JSON.stringify(service.body).length
  if (size <= MAX_BODY_CHARACTERS) return []
  const error = `${size} characters are more than ${MAX_BODY_CHARACTERS}`
  return [{ path: ['body'], mistake: error, mend: 'Store large data elsewhere and put a reference to it into the body.' }]
})

const ObjectiveCodec: FieldCodec<Objective> = object({
  name: NameCodec,
  queue: NameCodec,
  measure: choice(Object.values(Measure)),
  target: decimal({ min: 0.5, max: 0.999999 }),
  withinMs: optional(integer({ min: 1, max: 30 * DAY_MS }))
}, findObjectiveErrors)

function findQueueErrors (queue: Queue): ValidationError[] {
  const errors = findDuplicates(['teams'], queue.teams)
  if (!queue.idempotent && queue.attempts > 1) {
    const error = `work that is not idempotent cannot have ${queue.attempts} attempts`
    errors.push({ path: ['attempts'], mistake: error, mend: 'Set "attempts" to 1, or "idempotent" to true if the work may run twice.' })
  }
  if (queue.workload === Workload.Request && queue.deadlineMs === 0) {
    errors.push({ path: ['deadlineMs'], mistake: 'a queue of requests has no deadline', mend: 'Set "deadlineMs" to 1 or more.' })
  }
  return errors
}

function findObjectiveErrors (objective: Objective): ValidationError[] {
  const hasBound = objective.withinMs !== undefined
  if (objective.measure === Measure.Waiting && !hasBound) {
    return [{ path: ['withinMs'], mistake: 'the measure "waiting" has no maximum waiting time', mend: 'Add "withinMs".' }]
  }
  if (objective.measure === Measure.Success && hasBound) {
    return [{
      path: ['withinMs'], mistake: 'the measure "success" cannot have a maximum waiting time', mend: 'Remove "withinMs".'
    }]
  }
  return []
}

function findDuplicates (path: readonly string[], names: readonly string[]): ValidationError[] {
  const errors: ValidationError[] = []
  const seen = new Set<string>()
  for (const [index, name] of names.entries()) {
    if (seen.has(name)) errors.push({ path: [...path, index], mistake: `"${name}" is listed twice`, mend: 'Remove one of them.' })
    seen.add(name)
  }
  return errors
}

/** Codecs of the objects of each section. */
export const SECTION_CODECS: { readonly [section in Section]: FieldCodec<any> } = {
  [Section.Workspaces]: WorkspaceCodec,
  [Section.Upstreams]: UpstreamCodec,
  [Section.Teams]: TeamCodec,
  [Section.Keys]: KeyCodec,
  [Section.Queues]: QueueCodec,
  [Section.Services]: ServiceCodec,
  [Section.Objectives]: ObjectiveCodec
}

function createSectionCodec<T> (codec: FieldCodec<T>): FieldCodec<readonly T[]> {
  return withDefault(list(codec, { min: 0, max: MAX_OBJECTS }), [])
}

/** The codec of a manifest file. A section that is absent is decoded as empty. */
export const ManifestCodec = object({
  $schema: optional(text('the address of a schema', /./)),
  workspaces: createSectionCodec(WorkspaceCodec),
  upstreams: createSectionCodec(UpstreamCodec),
  teams: createSectionCodec(TeamCodec),
  keys: createSectionCodec(KeyCodec),
  queues: createSectionCodec(QueueCodec),
  services: createSectionCodec(ServiceCodec),
  objectives: createSectionCodec(ObjectiveCodec)
})

/**
 * Validates a manifest and reports all errors at once: types, ranges, unknown fields, duplicate names, and references to objects
 * that are not declared.
 *
 * @param value the parsed JSON of a manifest file
 * @returns the manifest, or all errors
 *
 * @example
 * const manifest = parseManifest(JSON.parse(file))
 */
export function parseManifest (value: unknown): Result<Manifest, ManifestError[]> {
  const decoded = ManifestCodec.decode(value)
  const errors = decoded.isLeft() ? readErrors(decoded.extract() as string) : []
  const declared = listDeclaredObjects(value)
  errors.push(...findDuplicateNamesAndHashes(declared), ...findUndeclaredReferences(declared))
  if (errors.length > 0) return err(formatErrors(errors))
  const { $schema, ...manifest } = decoded.unsafeCoerce()
  return ok(manifest)
}

/**
 * Parses and validates the JSON text of a manifest.
 *
 * @param file the content of a manifest file
 * @returns the manifest, or all errors; syntax errors contain line and column
 *
 * @example
 * const manifest = parseManifestText(readFileSync(path, 'utf8'))
 */
export function parseManifestText (file: string): Result<Manifest, ManifestError[]> {
  return parseJson(file).andThen(parseManifest)
}

/**
 * Validates one object of a section without its references to other objects.
 *
 * @param section the section
 * @param value the object
 * @returns the object with defaults filled in, or its errors
 */
export function parseObject (section: Section, value: unknown): Result<object, ValidationError[]> {
  const decoded = SECTION_CODECS[section].decode(value)
  if (decoded.isLeft()) return err(readErrors(decoded.extract() as string))
  return ok(decoded.extract() as object)
}

function listDeclaredObjects (value: unknown): DeclaredObject[] {
  const declared: DeclaredObject[] = []
  if (typeof value !== 'object' || value === null) return declared
  for (const section of Object.values(Section)) {
    const objects = (value as Record<string, unknown>)[section]
    if (!Array.isArray(objects)) continue
    for (const [index, each] of objects.entries()) {
      const name = (each as { name?: unknown } | null)?.name
      if (typeof name !== 'string') continue
      const parsed = parseObject(section, each)
      declared.push({ section, index, name, value: parsed.isOk() ? parsed.value : undefined })
    }
  }
  return declared
}
