/**
 * An operator who publishes configuration through the administration API.
 */
import { randomUUID } from 'node:crypto'
import { readFileSync } from 'node:fs'
import type { Change } from '@fireflymount/manifest/delta'
import { diffManifests } from '@fireflymount/manifest/diff'
import { hashSecret } from '@fireflymount/manifest/hash'
import { EMPTY_MANIFEST, Section, type Key, type Manifest, type UpperLimit } from '@fireflymount/manifest/manifest'
import { Workload } from '@fireflymount/protocol/workload'
import { callJson } from '../cell/http.js'
import { ADMINISTRATION_SECRET } from '../cell/settings.js'
import type { LimitChange, WithdrawnKey } from '../check/evidence.js'
import { readMonotonicMs } from './caller.js'

const ADMINISTRATION_HEADERS = { authorization: `Bearer ${ADMINISTRATION_SECRET}` }
/** Prefix of a problem type, e.g. `urn:fireflymount:problem:`. */
const PROBLEM_PREFIX = /^.*:/
const POLL_INTERVAL_MS = 50

/** A manifest file of a scenario: any section may be missing, and keys have no hash. */
type ScenarioManifest = Partial<Manifest>

/** Publishes configuration and records what was accepted. */
export class Operator {
  readonly limits: LimitChange[] = []
  readonly withdrawn: WithdrawnKey[] = []
  /** The configuration as of this operator's last accepted publication. */
  manifest: Manifest = EMPTY_MANIFEST
  private revision = -1

  /** @param directory directory of the scenarios' manifests */
  constructor (private readonly directory: string) {}

  /**
   * Publishes the manifest in a file. A section that the file does not contain stays as it is.
   *
   * @param api base URL of a node
   * @param file name of the file
   * @returns `accepted`, the reason for the refusal, or why there is no complete response
   */
  async apply (api: string, file: string): Promise<string> {
    const draft = JSON.parse(readFileSync(`${this.directory}/${file}`, 'utf8')) as ScenarioManifest
    const wanted: Manifest = { ...this.manifest, ...draft, keys: (draft.keys ?? this.manifest.keys).map(addHash) }
    return this.publish(api, diffManifests(this.manifest, wanted))
  }

  /** Grants a key to a team; withdraws the key if `team` is undefined. */
  async changeKey (api: string, name: string, team: string | undefined): Promise<string> {
    const value = team === undefined ? undefined : addHash({ name, team, hash: '' })
    const outcome = await this.publish(api, [{ section: Section.Keys, name, value }])
    if (value === undefined && outcome === 'accepted') this.withdrawn.push({ name, atMs: readMonotonicMs() })
    return outcome
  }

  /** Fetches the revision in effect on a node; undefined if the node does not respond. */
  async fetchRevision (api: string): Promise<number | undefined> {
    const response = await callJson(`${api}/v1/admin/configuration`, { headers: ADMINISTRATION_HEADERS })
    if (response.isErr() || response.value.status !== 200) return undefined
    return Number(String(response.value.headers.etag).replaceAll('"', ''))
  }

  /** The newest revision that this operator has published; -1 if there is none. */
  newestRevision (): number {
    return this.revision
  }

  /** Name of the first key of a team. */
  keyOf (team: string): string | undefined {
    return this.manifest.keys.find((key) => key.team === team)?.name
  }

  /** Names of the queues whose work must not run twice. */
  nonIdempotent (): string[] {
    const names: string[] = []
    for (const queue of this.manifest.queues) {
      if (!queue.idempotent) names.push(queue.name)
    }
    return names
  }

  /** Returns whether a queue takes synchronous requests. */
  isSynchronous (queue: string): boolean {
    return this.manifest.queues.find((each) => each.name === queue)?.workload === Workload.Request
  }

  private async publish (api: string, changes: readonly Change[]): Promise<string> {
    const base = this.revision < 0 ? await this.fetchRevision(api) : this.revision
    const sentMs = readMonotonicMs()
    const response = await callJson(`${api}/v1/admin/configuration`, {
      method: 'PATCH', headers: ADMINISTRATION_HEADERS, body: { base, changes, publish: randomUUID() }
    })
    if (response.isErr()) return response.error
    if (response.value.status >= 300) {
      return String((response.value.body as { type?: string } | undefined)?.type ?? response.value.status)
        .replace(PROBLEM_PREFIX, '')
    }
    this.recordAccepted(changes, (response.value.body as { revision: number }).revision, sentMs)
    return 'accepted'
  }

  private recordAccepted (changes: readonly Change[], revision: number, sentMs: number): void {
    this.revision = Math.max(this.revision, revision)
    const acceptedMs = readMonotonicMs()
    for (const change of changes) {
      this.manifest = replaceObject(this.manifest, change)
      if (change.section !== Section.Teams || change.value === undefined) continue
      const limit = (change.value as { upperLimit: UpperLimit }).upperLimit
      this.limits.push({ team: change.name, limit, sentMs, acceptedMs })
    }
  }
}

/**
 * Derives the secret of a scenario's key.
 *
 * @param name the key's name
 * @returns the secret that callers send
 */
export function secretOf (name: string): string {
  return `secret-of-${name}`
}

/**
 * Waits until the next poll of a condition.
 *
 * @returns a promise that resolves after the poll interval
 */
export function waitForNextPoll (): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
}

function addHash (key: Key): Key {
  return { ...key, hash: hashSecret(secretOf(key.name)) }
}

function replaceObject (manifest: Manifest, { section, name, value }: Change): Manifest {
  const others = (manifest[section] as readonly { name: string }[]).filter((each) => each.name !== name)
  return { ...manifest, [section]: value === undefined ? others : [...others, value] }
}
