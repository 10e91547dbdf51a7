/**
 * Folds deltas in the order of the log. Every node that folds the same records reaches the same configuration
 * and the same verdict on each delta.
 */
import { Catalog, type Item } from './catalog.js'
import { parseObject } from './codec.js'
import { parseDelta } from './delta-codec.js'
import type { Change, Delta } from './delta.js'
import { Section, type Key, type Manifest } from './manifest.js'
import { formatMistakes, nestMistakes, type ManifestError, type Mistake } from './mistake.js'
import { describeMissing, describeSharedHash, identify, listReferences } from './reference.js'
import { createParts, readParts, type State } from './state.js'
import { Outcome, type Conflict, type Verdict } from './verdict.js'

/** Revision of a configuration to which nothing was published. */
export const NO_REVISION = -1

/** Removed objects whose revision is remembered. */
const REMOVED_COUNT = 2000

/** Publish ids whose outcome is remembered. */
const DECIDED_COUNT = 512

/** One change after its value was checked by itself. */
interface Step {
  readonly change: Change
  /** Absent if the object is removed. */
  readonly value?: { readonly name: string }
}

/** The configuration built from the records of the log. */
export class Ledger {
  private catalog = new Catalog()
  private current = NO_REVISION
  /** Revision below which removals are forgotten. */
  private horizon = NO_REVISION
  private removed = new Map<string, number>()
  private decided = new Map<string, Outcome>()

  /**
   * Folds one record.
   *
   * @param record the record's data, a delta
   * @param offset the record's offset
   * @returns whether it took effect, and if not, why
   *
   * @example
   * const verdict = ledger.apply(record.data, record.offset)
   */
  apply (record: unknown, offset: number): Verdict {
    const parsed = parseDelta(record)
    if (parsed.isErr()) return createVerdict('', offset, Outcome.Invalid, { errors: parsed.error })
    const delta = parsed.value
    const before = this.decided.get(delta.publish)
    if (before !== undefined) return { ...createVerdict(delta.publish, offset, before, {}), repeated: true }
    const verdict = this.decide(delta, offset)
    this.decided.set(delta.publish, verdict.outcome)
    dropOldest(this.decided, DECIDED_COUNT)
    return verdict
  }

  /**
   * Tells what a delta would come to if it stood next in the log.
   *
   * @param delta the delta
   * @returns the verdict; nothing is changed
   */
  preview (delta: unknown): Verdict {
    const parsed = parseDelta(delta)
    if (parsed.isErr()) return createVerdict('', this.current + 1, Outcome.Invalid, { errors: parsed.error })
    return this.examine(parsed.value, this.current + 1).verdict
  }

  private decide (delta: Delta, offset: number): Verdict {
    const { verdict, steps } = this.examine(delta, offset)
    if (verdict.outcome !== Outcome.Accepted) return verdict
    for (const step of steps) this.take(step, offset)
    this.current = offset
    return verdict
  }

  private examine (delta: Delta, offset: number): { verdict: Verdict, steps: readonly Step[] } {
    const conflicts = this.findConflicts(delta)
    if (conflicts.length > 0) return { verdict: createVerdict(delta.publish, offset, Outcome.Conflict, { conflicts }), steps: [] }
    const mistakes = this.findBaseMistakes(delta)
    const steps = checkChanges(delta.changes, mistakes)
    if (mistakes.length === 0) this.checkTogether(steps, mistakes)
    if (mistakes.length > 0) {
      return { verdict: createVerdict(delta.publish, offset, Outcome.Invalid, { errors: formatMistakes(mistakes) }), steps: [] }
    }
    return { verdict: createVerdict(delta.publish, offset, Outcome.Accepted, {}), steps }
  }

  private findConflicts (delta: Delta): Conflict[] {
    const conflicts: Conflict[] = []
    for (const { section, name } of delta.changes) {
      const changedAt = this.changedAt(section, name) ?? this.removed.get(identify(section, name)) ?? this.horizon
      if (changedAt > delta.base) conflicts.push({ section, name, changedAt })
    }
    return conflicts
  }

  private findBaseMistakes (delta: Delta): Mistake[] {
    const mistakes: Mistake[] = []
    if (delta.base > this.current) {
      const mistake = `revision ${delta.base} does not exist yet`
      mistakes.push({ path: ['base'], mistake, mend: `Use a revision up to ${this.current}.` })
    }
    for (const [index, { section, name, value }] of delta.changes.entries()) {
      if (value !== undefined || this.catalog.get(section, name) !== undefined) continue
      const mistake = `"${name}" is not declared in "${section}"`
      mistakes.push({ path: ['changes', index], mistake, mend: 'Leave the removal out.' })
    }
    return mistakes
  }

  private checkTogether (steps: readonly Step[], mistakes: Mistake[]): void {
    const touched = new Map(steps.map((step) => [identify(step.change.section, step.change.name), step]))
    for (const [index, step] of steps.entries()) {
      const path = ['changes', index]
      if (step.value === undefined) this.checkRemoval(step.change, touched, path, mistakes)
      else this.checkReferences(step.change.section, step.value, touched, path, mistakes)
    }
    this.checkHashes(steps, touched, mistakes)
  }

  private checkRemoval (
    change: Change, touched: ReadonlyMap<string, Step>, path: Mistake['path'], mistakes: Mistake[]
  ): void {
    const users: string[] = []
    for (const user of this.catalog.referrersOf(change.section, change.name)) {
      if (!touched.has(user)) users.push(user)
    }
    if (users.length === 0) return
    const mistake = `"${change.name}" is still used by ${users.slice(0, 5).join(', ')}`
    mistakes.push({ path, mistake, mend: 'Remove or change what uses it in the same delta.' })
  }

  private checkReferences (
    section: Section, value: object, touched: ReadonlyMap<string, Step>, path: Mistake['path'], mistakes: Mistake[]
  ): void {
    for (const reference of listReferences(section, value)) {
      const step = touched.get(identify(reference.section, reference.name))
      const held = step === undefined ? this.catalog.get(reference.section, reference.name) : step.value
      if (held === undefined) mistakes.push(describeMissing([...path, 'value', ...reference.path], reference))
    }
  }

  private checkHashes (steps: readonly Step[], touched: ReadonlyMap<string, Step>, mistakes: Mistake[]): void {
    const hashes = new Map<string, string>()
    for (const [index, step] of steps.entries()) {
      if (step.change.section !== Section.Keys || step.value === undefined) continue
      const { hash, name } = step.value as Key
      const held = this.catalog.keyOf(hash)
      const holder = held !== undefined && !touched.has(identify(Section.Keys, held)) ? held : hashes.get(hash)
      if (holder !== undefined) mistakes.push(describeSharedHash(['changes', index, 'value', 'hash'], holder))
      hashes.set(hash, name)
    }
  }

  private take (step: Step, offset: number): void {
    const { section, name } = step.change
    const id = identify(section, name)
    this.removed.delete(id)
    if (step.value !== undefined) {
      this.catalog.put(section, { value: step.value, revision: offset })
      return
    }
    this.catalog.remove(section, name)
    this.removed.set(id, offset)
    const dropped = dropOldest(this.removed, REMOVED_COUNT)
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
   * @returns offset of the last delta in effect, or NO_REVISION
   */
  revision (): number {
    return this.current
  }

  /**
   * Returns when an object last changed.
   *
   * @param section its section
   * @param name its name
   * @returns the revision, or undefined if there is no such object
   */
  changedAt (section: Section, name: string): number | undefined {
    return this.catalog.get(section, name)?.revision
  }

  /**
   * Returns the outcome of a publication.
   *
   * @param publish its publish id
   * @returns the outcome, or undefined if none of the latest publications has this id
   */
  outcomeOf (publish: string): Outcome | undefined {
    return this.decided.get(publish)
  }

  /**
   * Returns the whole state for a snapshot.
   *
   * @returns JSON values of bounded size; the order matters
   */
  snapshot (): readonly unknown[] {
    const state: State = {
      revision: this.current,
      horizon: this.horizon,
      objects: this.listObjects(),
      removed: [...this.removed],
      decided: [...this.decided]
    }
    return createParts(state)
  }

  private listObjects (): State['objects'] {
    const objects: Array<readonly [Section, Item]> = []
    for (const section of Object.values(Section)) {
      for (const item of this.catalog.items(section)) objects.push([section, item])
    }
    return objects
  }

  /**
   * Replaces the whole state.
   *
   * @param parts what `snapshot` returned
   */
  restore (parts: readonly unknown[]): void {
    const state = readParts(parts)
    this.catalog = new Catalog()
    for (const [section, item] of state.objects) this.catalog.put(section, item)
    this.current = state.revision
    this.horizon = state.horizon
    this.removed = new Map(state.removed)
    this.decided = new Map(state.decided)
  }
}

function checkChanges (changes: readonly Change[], mistakes: Mistake[]): Step[] {
  const steps: Step[] = []
  const seen = new Set<string>()
  for (const [index, change] of changes.entries()) {
    const id = identify(change.section, change.name)
    if (seen.has(id)) mistakes.push({ path: ['changes', index], mistake: `${id} is changed twice`, mend: 'Keep one of the two.' })
    seen.add(id)
    if (change.value === undefined) {
      steps.push({ change })
      continue
    }
    const parsed = parseObject(change.section, change.value)
    if (parsed.isErr()) {
      mistakes.push(...nestMistakes('changes', nestMistakes(index, nestMistakes('value', parsed.error))))
      continue
    }
    const value = parsed.value as { name: string }
    if (value.name !== change.name) {
      const mistake = `"${change.name}" is not the object's name`
      mistakes.push({ path: ['changes', index, 'name'], mistake, mend: `Use "${value.name}".` })
    }
    steps.push({ change, value })
  }
  return steps
}

function createVerdict (
  publish: string, offset: number, outcome: Outcome, why: { conflicts?: Conflict[], errors?: ManifestError[] }
): Verdict {
  return { publish, offset, outcome, conflicts: why.conflicts ?? [], errors: why.errors ?? [], repeated: false }
}

function dropOldest<T> (map: Map<string, T>, most: number): T | undefined {
  if (map.size <= most) return undefined
  const oldest = map.entries().next().value
  if (oldest !== undefined) map.delete(oldest[0])
  return oldest?.[1]
}
