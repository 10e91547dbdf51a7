/**
 * References between the sections of a manifest.
 */
import { Section, type Key, type Objective, type Queue, type Service, type Team } from './manifest.js'
import type { Mistake, Path } from './mistake.js'

/** A reference from one object to another. */
export interface Reference {
  /** Place within the referring object. */
  readonly path: Path
  readonly section: Section
  readonly name: string
}

/** An object of a manifest file and where it stands. */
export interface Declared {
  readonly section: Section
  readonly index: number
  readonly name: string
  /** Absent if the object is wrong by itself. */
  readonly value: object | undefined
}

/**
 * Names an object across all sections.
 *
 * @param section its section
 * @param name its name
 * @returns an identifier that no other object has
 */
export function identify (section: Section, name: string): string {
  return `${section}/${name}`
}

/**
 * Lists what an object refers to.
 *
 * @param section the object's section
 * @param value the object
 * @returns its references
 */
export function listReferences (section: Section, value: object): Reference[] {
  switch (section) {
    case Section.Teams:
      return [{ path: ['workspace'], section: Section.Workspaces, name: (value as Team).workspace }]
    case Section.Keys:
      return [{ path: ['team'], section: Section.Teams, name: (value as Key).team }]
    case Section.Queues:
      return listQueueReferences(value as Queue)
    case Section.Services:
      return [
        { path: ['team'], section: Section.Teams, name: (value as Service).team },
        { path: ['upstream'], section: Section.Upstreams, name: (value as Service).upstream }
      ]
    case Section.Objectives:
      return [{ path: ['queue'], section: Section.Queues, name: (value as Objective).queue }]
    default:
      return []
  }
}

function listQueueReferences (queue: Queue): Reference[] {
  const references: Reference[] = [{ path: ['upstream'], section: Section.Upstreams, name: queue.upstream }]
  for (const [index, team] of queue.teams.entries()) {
    references.push({ path: ['teams', index], section: Section.Teams, name: team })
  }
  return references
}

/**
 * Describes a reference to an object that is not declared.
 *
 * @param path place of the reference
 * @param reference the reference
 * @returns the mistake
 */
export function describeMissing (path: Path, reference: Reference): Mistake {
  const mistake = `"${reference.name}" is not declared in "${reference.section}"`
  return { path, mistake, mend: 'Declare it there, or name one that is.' }
}

/**
 * Finds names that stand twice in a section, and keys with the same hash.
 *
 * @param declared the objects of a manifest file
 * @returns the mistakes, at the later of the two
 */
export function findRepeatedNames (declared: readonly Declared[]): Mistake[] {
  const mistakes: Mistake[] = []
  const names = new Set<string>()
  const hashes = new Map<string, string>()
  for (const { section, index, name, value } of declared) {
    const id = identify(section, name)
    if (names.has(id)) {
      mistakes.push({ path: [section, index, 'name'], mistake: `"${name}" stands twice in "${section}"`, mend: 'Rename one of the two.' })
    }
    names.add(id)
    if (section !== Section.Keys || value === undefined) continue
    const { hash } = value as Key
    const other = hashes.get(hash)
    if (other !== undefined) mistakes.push(describeSharedHash([section, index, 'hash'], other))
    hashes.set(hash, name)
  }
  return mistakes
}

/**
 * Describes a hash that two keys share.
 *
 * @param path place of the hash
 * @param other name of the other key
 * @returns the mistake
 */
export function describeSharedHash (path: Path, other: string): Mistake {
  return { path, mistake: `key "${other}" has the same hash`, mend: 'Give each key a secret of its own.' }
}

/**
 * Finds references to objects that are not declared.
 *
 * @param declared the objects of a manifest file
 * @returns the mistakes
 */
export function findBrokenReferences (declared: readonly Declared[]): Mistake[] {
  const mistakes: Mistake[] = []
  const known = new Set(declared.map(({ section, name }) => identify(section, name)))
  for (const { section, index, value } of declared) {
    if (value === undefined) continue
    for (const reference of listReferences(section, value)) {
      if (known.has(identify(reference.section, reference.name))) continue
      mistakes.push(describeMissing([section, index, ...reference.path], reference))
    }
  }
  return mistakes
}
