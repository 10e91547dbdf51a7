/**
 * Reads manifests from files and from the server, and determines the changes between them.
 */
import { isDeepStrictEqual } from 'node:util'
import { err, ok, type Result } from 'neverthrow'
import { parseManifest, parseManifestText } from '@fireflymount/manifest/codec'
import { diffManifests } from '@fireflymount/manifest/diff'
import { Section, type Manifest } from '@fireflymount/manifest/manifest'
import { RetryPolicy, type Client } from './client.js'
import { ExitCode } from './exit-code.js'
import { createUsageError, type Failure } from './failure.js'
import { readText } from './options.js'
import type { Change } from '@fireflymount/manifest/delta'
import type { Terminal } from './terminal.js'

/** The path of the configuration in the API. */
export const CONFIGURATION_PATH = '/v1/admin/configuration'

/** The content of a manifest file after validation. */
export interface ManifestFile {
  readonly manifest: Manifest
  /** Sections that the file contains. The other sections stay as they are on the server. */
  readonly sections: ReadonlySet<Section>
}

/** The configuration that a server has in effect. */
export interface EffectiveConfiguration {
  readonly revision: number
  readonly manifest: Manifest
}

/** The changes that `apply` would publish. */
export interface Plan {
  /** Revision of `before`. */
  readonly base: number
  readonly changes: readonly Change[]
  /** The configuration that the changes are based on. */
  readonly before: Manifest
}

/**
 * Reads and validates a manifest file.
 *
 * @param path the path of the file, or "-" for the standard input
 * @param terminal from which the standard input is read
 * @returns the content, or all validation errors with their paths
 */
export async function readManifestFile (path: string, terminal: Terminal): Promise<Result<ManifestFile, Failure>> {
  const text = await readText(path, terminal)
  if (text.isErr()) return err(text.error)
  const manifest = parseManifestText(text.value)
  if (manifest.isErr()) return err(createUsageError(`${path} has ${manifest.error.length} error(s).`, manifest.error))
  const keys = new Set(Object.keys(JSON.parse(text.value) as object))
  const sections = new Set(Object.values(Section).filter((section) => keys.has(section)))
  return ok({ manifest: manifest.value, sections })
}

/**
 * Reads the configuration in effect.
 *
 * @param client the client
 * @returns the manifest with its revision
 */
export async function readEffectiveConfiguration (client: Client): Promise<Result<EffectiveConfiguration, Failure>> {
  const answer = await client.call({ method: 'GET', path: CONFIGURATION_PATH, retry: RetryPolicy.Safe })
  if (answer.isErr()) return err(answer.error)
  const revision = parseRevision(answer.value.headers.etag)
  const manifest = parseManifest(answer.value.body)
  if (revision !== undefined && manifest.isOk()) return ok({ revision, manifest: manifest.value })
  return err({ exit: ExitCode.Refused, message: 'The server sent an invalid configuration. Check its software version.' })
}

/**
 * Determines the changes that bring a manifest file into effect.
 *
 * @param client the client
 * @param file the content of the manifest file
 * @returns the plan; it has no changes if the file is already in effect
 */
export async function createPlan (client: Client, file: ManifestFile): Promise<Result<Plan, Failure>> {
  const effective = await readEffectiveConfiguration(client)
  return effective.map(({ revision, manifest }) => {
    const desired = { ...manifest }
    for (const section of file.sections) Object.assign(desired, { [section]: file.manifest[section] })
    return { base: revision, before: manifest, changes: diffManifests(manifest, desired) }
  })
}

/**
 * Checks whether changes are in effect.
 *
 * @param manifest the manifest in effect
 * @param changes the changes
 * @returns true if each object has the value of its change
 */
export function areInEffect (manifest: Manifest, changes: readonly Change[]): boolean {
  for (const { section, name, value } of changes) {
    const object = manifest[section].find((each) => each.name === name)
    if (!isDeepStrictEqual(object, value)) return false
  }
  return true
}

/**
 * Parses a revision from an entity tag.
 *
 * @param tag the value of the ETag header
 * @returns the revision, or undefined if the tag contains none
 */
export function parseRevision (tag: string | string[] | undefined): number | undefined {
  const digits = /^"(-1|\d{1,15})"$/.exec(String(tag))?.[1]
  return digits === undefined ? undefined : Number(digits)
}
