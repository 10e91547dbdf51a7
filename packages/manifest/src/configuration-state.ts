/**
 * Applies deltas in the order of the log. The result is deterministic: every node that applies the same records gets the same
 * configuration and the same result for each delta.
 */
import { Catalog, type CatalogItem } from './catalog.js'
import { parseObject } from './codec.js'
import { parseDelta } from './delta-codec.js'
import type { Change, Delta } from './delta.js'
import { Section, type Key, type Manifest } from './manifest.js'
import { formatErrors, nestErrors, type ManifestError, type ValidationError } from './validation-error.js'
import { describeMissingReference, describeSharedHash, toObjectId, listReferences } from './reference.js'
import { joinSnapshot, splitSnapshot, type ConfigurationSnapshot } from './snapshot.js'
import { Outcome, type Conflict, type DeltaResult } from './delta-result.js'

/** Revision of a configuration to which nothing has been published. */
export const NO_REVISION = -1

/** Number of removed objects whose revision of removal is kept. */
const MAX_KEPT_REMOVALS = 2000

/** Number of publish ids whose outcome is kept; an older delta that is published again is validated anew. */
const MAX_KEPT_OUTCOMES = 512

/** One change of a delta, after its new value was validated by itself. */
interface ValidatedChange {
  readonly change: Change
  /** The new object; absent if the object is removed. */
  readonly value?: { readonly name: string }
}

/** The configuration, as it results from the records of the log. */
export class ConfigurationState {
  private catalog = new Catalog()
  private currentRevision = NO_REVISION
  /**
   * Removals at or before this revision may have been dropped from `removalRevisions`. An object that is neither declared nor
   * listed there counts as removed at this revision.
   */
  private horizon = NO_REVISION
  private removalRevisions = new Map<string, number>()
  private outcomes = new Map<string, Outcome>()

  /**
   * Applies one record.
   *
   * @param record the record's data, a delta
   * @param offset the record's offset
   * @returns whether the delta took effect, or why it did not
   *
   * @example
   * const result = state.apply(record.data, record.offset)
   */
  apply (record: unknown, offset: number): DeltaResult {
    const parsed = parseDelta(record)
    if (parsed.isErr()) return createDeltaResult('', offset, Outcome.Invalid, { errors: parsed.error })
    const delta = parsed.value
    const earlierOutcome = this.outcomes.get(delta.publish)
    if (earlierOutcome !== undefined) return { ...createDeltaResult(delta.publish, offset, earlierOutcome, {}), repeated: true }
    const result = this.applyDelta(delta, offset)
    this.outcomes.set(delta.publish, result.outcome)
    dropOldest(this.outcomes, MAX_KEPT_OUTCOMES)
    return result
  }

  /**
   * Determines the result that a delta would have as the next record of the log, provided that its publish id is new. Changes
   * nothing.
   *
   * @param delta the delta
   * @returns the result
   */
  preview (delta: unknown): DeltaResult {
    const parsed = parseDelta(delta)
    if (parsed.isErr()) return createDeltaResult('', this.currentRevision + 1, Outcome.Invalid, { errors: parsed.error })
    return this.validate(parsed.value, this.currentRevision + 1).result
  }

  private applyDelta (delta: Delta, offset: number): DeltaResult {
    const { result, validated } = this.validate(delta, offset)
    if (result.outcome !== Outcome.Accepted) return result
    for (const validatedChange of validated) this.applyChange(validatedChange, offset)
    this.currentRevision = offset
    return result
  }

  private validate (delta: Delta, offset: number): { result: DeltaResult, validated: readonly ValidatedChange[] } {
    const conflicts = this.findConflicts(delta)
    if (conflicts.length > 0) {
      return { result: createDeltaResult(delta.publish, offset, Outcome.Conflict, { conflicts }), validated: [] }
    }
    const errors = this.findBaseErrors(delta)
    const validated = validateChanges(delta.changes, errors)
    if (errors.length === 0) this.validateTogether(validated, errors)
    if (errors.length > 0) {
      const details = { errors: formatErrors(errors) }
      return { result: createDeltaResult(delta.publish, offset, Outcome.Invalid, details), validated: [] }
    }
    return { result: createDeltaResult(delta.publish, offset, Outcome.Accepted, {}), validated }
  }

  private findConflicts (delta: Delta): Conflict[] {
    const conflicts: Conflict[] = []
    for (const { section, name } of delta.changes) {
      const changedAt = this.changedAt(section, name) ?? this.removalRevisions.get(toObjectId(section, name)) ?? this.horizon
      if (changedAt > delta.base) conflicts.push({ section, name, changedAt })
    }
    return conflicts
  }

  private findBaseErrors (delta: Delta): ValidationError[] {
    const errors: ValidationError[] = []
    if (delta.base > this.currentRevision) {
      const error = `revision ${delta.base} does not exist yet`
      errors.push({ path: ['base'], mistake: error, mend: `Use a revision of at most ${this.currentRevision}.` })
    }
    for (const [index, { section, name, value }] of delta.changes.entries()) {
      if (value !== undefined || this.catalog.get(section, name) !== undefined) continue
      const error = `"${name}" is not declared in "${section}"`
      errors.push({ path: ['changes', index], mistake: error, mend: 'Omit the removal.' })
    }
    return errors
  }

  /** Validates the changes of a delta in combination with each other and with the current configuration. */
  private validateTogether (validated: readonly ValidatedChange[], errors: ValidationError[]): void {
    const changesById = new Map(validated.map((each) => [toObjectId(each.change.section, each.change.name), each]))
    for (const [index, validatedChange] of validated.entries()) {
      const path = ['changes', index]
      if (validatedChange.value === undefined) this.validateRemoval(validatedChange.change, changesById, path, errors)
      else this.validateReferences(validatedChange.change.section, validatedChange.value, changesById, path, errors)
    }
    this.validateHashes(validated, changesById, errors)
  }

  private validateRemoval (
    change: Change, changesById: ReadonlyMap<string, ValidatedChange>, path: ValidationError['path'], errors: ValidationError[]
  ): void {
    const referrers: string[] = []
    for (const referrer of this.catalog.referrersOf(change.section, change.name)) {
      if (!changesById.has(referrer)) referrers.push(referrer)
    }
    if (referrers.length === 0) return
    // At most five referrers are named, to bound the length of the text.
    const error = `"${change.name}" is still referred to by ${referrers.slice(0, 5).join(', ')}`
    errors.push({ path, mistake: error, mend: 'Remove or change the objects that refer to it in the same delta.' })
  }

  private validateReferences (
    section: Section,
    value: object,
    changesById: ReadonlyMap<string, ValidatedChange>,
    path: ValidationError['path'],
    errors: ValidationError[]
  ): void {
    for (const reference of listReferences(section, value)) {
      const validatedChange = changesById.get(toObjectId(reference.section, reference.name))
      const target = validatedChange === undefined ? this.catalog.get(reference.section, reference.name) : validatedChange.value
      if (target === undefined) errors.push(describeMissingReference([...path, 'value', ...reference.path], reference))
    }
  }

  private validateHashes (
    validated: readonly ValidatedChange[],
    changesById: ReadonlyMap<string, ValidatedChange>,
    errors: ValidationError[]
  ): void {
    const hashes = new Map<string, string>()
    for (const [index, validatedChange] of validated.entries()) {
      if (validatedChange.change.section !== Section.Keys || validatedChange.value === undefined) continue
      const { hash, name } = validatedChange.value as Key
      const existing = this.catalog.findKeyByHash(hash)
      const holder = existing !== undefined && !changesById.has(toObjectId(Section.Keys, existing)) ? existing : hashes.get(hash)
      if (holder !== undefined) errors.push(describeSharedHash(['changes', index, 'value', 'hash'], holder))
      hashes.set(hash, name)
    }
  }

  private applyChange (validatedChange: ValidatedChange, offset: number): void {
    const { section, name } = validatedChange.change
    const id = toObjectId(section, name)
    this.removalRevisions.delete(id)
    if (validatedChange.value !== undefined) {
      this.catalog.put(section, { value: validatedChange.value, revision: offset })
      return
    }
    this.catalog.remove(section, name)
    this.removalRevisions.set(id, offset)
    const dropped = dropOldest(this.removalRevisions, MAX_KEPT_REMOVALS)
    if (dropped !== undefined) this.horizon = Math.max(this.horizon, dropped)
  }

  /**
   * Returns the configuration.
   *
   * @returns the manifest at the current revision
   */
  manifest (): Manifest {
    return this.catalog.manifest()
  }

  /**
   * Returns the current revision.
   *
   * @returns offset of the last delta that took effect, or NO_REVISION
   */
  revision (): number {
    return this.currentRevision
  }

  /**
   * Returns the revision at which an object last changed.
   *
   * @param section its section
   * @param name its name
   * @returns the revision, or undefined if there is no such object
   */
  changedAt (section: Section, name: string): number | undefined {
    return this.catalog.get(section, name)?.revision
  }

  /**
   * Returns the outcome of a delta.
   *
   * @param publish its publish id
   * @returns the outcome, or undefined if none of the latest deltas has this id
   */
  outcomeOf (publish: string): Outcome | undefined {
    return this.outcomes.get(publish)
  }

  /**
   * Returns the complete state as a snapshot.
   *
   * @returns JSON values of limited size (see splitSnapshot), to be kept in this order
   */
  snapshot (): readonly unknown[] {
    const state: ConfigurationSnapshot = {
      revision: this.currentRevision,
      horizon: this.horizon,
      objects: this.listObjects(),
      removed: [...this.removalRevisions],
      decided: [...this.outcomes]
    }
    return splitSnapshot(state)
  }

  private listObjects (): ConfigurationSnapshot['objects'] {
    const objects: Array<readonly [Section, CatalogItem]> = []
    for (const section of Object.values(Section)) {
      for (const item of this.catalog.items(section)) objects.push([section, item])
    }
    return objects
  }

  /**
   * Replaces the complete state by a snapshot.
   *
   * @param parts the result of `snapshot`
   */
  restore (parts: readonly unknown[]): void {
    const state = joinSnapshot(parts)
    this.catalog = new Catalog()
    for (const [section, item] of state.objects) this.catalog.put(section, item)
    this.currentRevision = state.revision
    this.horizon = state.horizon
    this.removalRevisions = new Map(state.removed)
    this.outcomes = new Map(state.decided)
  }
}

/** Validates each change of a delta by itself, and adds the errors to a list. */
function validateChanges (changes: readonly Change[], errors: ValidationError[]): ValidatedChange[] {
  const validated: ValidatedChange[] = []
  const seen = new Set<string>()
  for (const [index, change] of changes.entries()) {
    const id = toObjectId(change.section, change.name)
    if (seen.has(id)) errors.push({ path: ['changes', index], mistake: `${id} is changed twice`, mend: 'Keep one of the two.' })
    seen.add(id)
    if (change.value === undefined) {
      validated.push({ change })
      continue
    }
    const parsed = parseObject(change.section, change.value)
    if (parsed.isErr()) {
      errors.push(...nestErrors('changes', nestErrors(index, nestErrors('value', parsed.error))))
      continue
    }
    const value = parsed.value as { name: string }
    if (value.name !== change.name) {
      const error = `"${change.name}" is not the name of the object`
      errors.push({ path: ['changes', index, 'name'], mistake: error, mend: `Use "${value.name}".` })
    }
    validated.push({ change, value })
  }
  return validated
}

function createDeltaResult (
  publish: string, offset: number, outcome: Outcome, details: { conflicts?: Conflict[], errors?: ManifestError[] }
): DeltaResult {
  return { publish, offset, outcome, conflicts: details.conflicts ?? [], errors: details.errors ?? [], repeated: false }
}

function dropOldest<T> (map: Map<string, T>, maxSize: number): T | undefined {
  if (map.size <= maxSize) return undefined
  const oldest = map.entries().next().value
  if (oldest !== undefined) map.delete(oldest[0])
  return oldest?.[1]
}
