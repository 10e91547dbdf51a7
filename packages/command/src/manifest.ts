/**
 * Reads manifests from files and from the server, and compares them.
 */
import { isDeepStrictEqual } from 'node:util'
import { err, ok, type Result } from 'neverthrow'
import { parseManifest, parseManifestText } from '@fireflymount/manifest/codec'
import { diffManifests } from '@fireflymount/manifest/diff'
import { Section, type Manifest } from '@fireflymount/manifest/manifest'
import { Repeat, type Client } from './client.js'
import { Exit } from './exit.js'
import { createMisuse, type Failure } from './failure.js'
import { readText } from './options.js'
import type { Change } from '@fireflymount/manifest/delta'
import type { Terminal } from './terminal.js'

/** The path of the configuration in the API. */
export const CONFIGURATION_PATH = '/v1/admin/configuration'

/** A manifest file after it was checked. */
export interface Draft {
  readonly manifest: Manifest
  /** Sections that the file mentions; the others are left as they are on the server. */
  readonly sections: ReadonlySet<Section>
}

/** The configuration that a server has in effect. */
export interface Effective {
  readonly revision: number
  readonly manifest: Manifest
}

/** What an application would do. */
export interface Plan {
  readonly base: number
  readonly changes: readonly Change[]
  readonly before: Manifest
}

/**
 * Reads and checks a manifest file.
 *
 * @param path the file, or "-" for the standard input
 * @param terminal where the standard input is read
 * @returns the draft, or all mistakes with their paths
 */
export async function readDraft (path: string, terminal: Terminal): Promise<Result<Draft, Failure>> {
  const text = await readText(path, terminal)
  if (text.isErr()) return err(text.error)
  const manifest = parseManifestText(text.value)
  if (manifest.isErr()) return err(createMisuse(`${path} has ${manifest.error.length} mistake(s).`, manifest.error))
  const mentioned = new Set(Object.keys(JSON.parse(text.value) as object))
  const sections = new Set(Object.values(Section).filter((section) => mentioned.has(section)))
  return ok({ manifest: manifest.value, sections })
}

/**
 * Reads the configuration in effect.
 *
 * @param client the client
 * @returns the manifest with its revision
 */
export async function readEffective (client: Client): Promise<Result<Effective, Failure>> {
  const reply = await client.call({ method: 'GET', path: CONFIGURATION_PATH, repeat: Repeat.Safe })
  if (reply.isErr()) return err(reply.error)
  const revision = readRevision(reply.value.headers.etag)
  const manifest = parseManifest(reply.value.body)
  if (revision !== undefined && manifest.isOk()) return ok({ revision, manifest: manifest.value })
  return err({ exit: Exit.Refused, message: 'The server sent no valid configuration. Is it of another version?' })
}

/**
 * Finds the changes that bring the draft into effect.
 *
 * @param client the client
 * @param draft the draft
 * @returns the plan; it has no changes if the draft is in effect
 */
export async function planDraft (client: Client, draft: Draft): Promise<Result<Plan, Failure>> {
  const effective = await readEffective(client)
  return effective.map(({ revision, manifest }) => {
    const wanted = { ...manifest }
    for (const section of draft.sections) Object.assign(wanted, { [section]: draft.manifest[section] })
    return { base: revision, before: manifest, changes: diffManifests(manifest, wanted) }
  })
}

/**
 * Tells whether changes are in effect.
 *
 * @param manifest the manifest in effect
 * @param changes the changes
 * @returns true if each object is as its change says
 */
export function areInEffect (manifest: Manifest, changes: readonly Change[]): boolean {
  for (const { section, name, value } of changes) {
    const object = manifest[section].find((each) => each.name === name)
    if (!isDeepStrictEqual(object, value)) return false
  }
  return true
}

/**
 * Reads a revision from an entity tag.
 *
 * @param tag the value of the ETag header
 * @returns the revision, or undefined
 */
export function readRevision (tag: string | string[] | undefined): number | undefined {
  const digits = /^"(-1|\d{1,15})"$/.exec(String(tag))?.[1]
  return digits === undefined ? undefined : Number(digits)
}
