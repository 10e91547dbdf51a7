/**
 * References between the sections of a manifest.
 */
import { Section, type Key, type Objective, type Queue, type Service, type Team } from './manifest.js'
import type { ValidationError, Path } from './validation-error.js'

/** A reference from one object to another. */
export interface Reference {
  /** Path of the reference within the referring object. */
  readonly path: Path
  readonly section: Section
  readonly name: string
}

/** An object of a manifest file and its position in the file. */
export interface DeclaredObject {
  readonly section: Section
  readonly index: number
  readonly name: string
  /** Undefined if the object is invalid by itself. */
  readonly value: object | undefined
}

/**
 * Returns an id of an object that is unique over all sections.
 *
 * @param section its section
 * @param name its name
 * @returns the id
 */
export function toObjectId (section: Section, name: string): string {
  return `${section}/${name}`
}

/**
 * Lists the references of an object.
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
 * @param path path of the reference
 * @param reference the reference
 * @returns the error
 */
export function describeMissingReference (path: Path, reference: Reference): ValidationError {
  const mistake = `"${reference.name}" is not declared in "${reference.section}"`
  return { path, mistake, mend: 'Declare it, or refer to an object that is declared.' }
}

/**
 * Finds names that are declared twice in a section, and keys that have the same hash.
 *
 * @param declared the objects of a manifest file
 * @returns the errors, each with the path of the later of the two objects
 */
export function findDuplicateNamesAndHashes (declared: readonly DeclaredObject[]): ValidationError[] {
  const errors: ValidationError[] = []
  const ids = new Set<string>()
  const hashes = new Map<string, string>()
  for (const { section, index, name, value } of declared) {
    const id = toObjectId(section, name)
    if (ids.has(id)) {
      errors.push({
        path: [section, index, 'name'], mistake: `"${name}" is declared twice in "${section}"`, mend: 'Rename one of the two.'
      })
    }
    ids.add(id)
    if (section !== Section.Keys || value === undefined) continue
    const { hash } = value as Key
    const other = hashes.get(hash)
    if (other !== undefined) errors.push(describeSharedHash([section, index, 'hash'], other))
    hashes.set(hash, name)
  }
  return errors
}

/**
 * Describes a key whose hash another key also has.
 *
 * @param path path of the hash
 * @param other name of the other key
 * @returns the error
 */
export function describeSharedHash (path: Path, other: string): ValidationError {
  return { path, mistake: `key "${other}" has the same hash`, mend: 'Use a different secret for each key.' }
}

/**
 * Finds references to objects that are not declared.
 *
 * @param declared the objects of a manifest file
 * @returns the errors
 */
export function findUndeclaredReferences (declared: readonly DeclaredObject[]): ValidationError[] {
  const errors: ValidationError[] = []
  const known = new Set(declared.map(({ section, name }) => toObjectId(section, name)))
  for (const { section, index, value } of declared) {
    if (value === undefined) continue
    for (const reference of listReferences(section, value)) {
      if (known.has(toObjectId(reference.section, reference.name))) continue
      errors.push(describeMissingReference([section, index, ...reference.path], reference))
    }
  }
  return errors
}
