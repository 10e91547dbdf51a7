/**
 * Indexes of the configuration for the look-ups of each request, rebuilt once per revision.
 */
import { findQueue, findUpstream } from '@fireflymount/manifest/lookup'
import type { Configuration } from '../configuration/configuration.js'
import type { Key, Manifest, Queue } from '@fireflymount/manifest/manifest'

/** Indexes of one manifest. */
interface Index {
  readonly manifest: Manifest
  readonly keysByName: ReadonlyMap<string, Key>
  readonly keysByHash: ReadonlyMap<string, Key>
  readonly shares: ReadonlyMap<string, number>
}

/** Looks up queues, upstreams, keys and shares in the revision that is in effect at the time of the call. */
export class ConfigurationIndex {
  private index: Index

  constructor (private readonly configuration: Configuration) {
    this.index = createIndex(configuration.current().manifest)
  }

  /** @returns the queue, or undefined if the current revision has no queue of that name */
  queue (name: string): Queue | undefined {
    return findQueue(this.configuration.current().manifest, name)
  }

  /** @returns whether the current revision has an upstream of that name */
  hasUpstream (name: string): boolean {
    return findUpstream(this.configuration.current().manifest, name) !== undefined
  }

  /** @returns the key with that name, or undefined if it is unknown or withdrawn */
  keyByName (name: string): Key | undefined {
    return this.refresh().keysByName.get(name)
  }

  /** @returns the key with that hash, or undefined if it is unknown or withdrawn */
  keyByHash (hash: string): Key | undefined {
    return this.refresh().keysByHash.get(hash)
  }

  /** @returns the team's share; zero if the team is unknown */
  share (team: string): number {
    return this.refresh().shares.get(team) ?? 0
  }

  private refresh (): Index {
    const { manifest } = this.configuration.current()
    if (manifest !== this.index.manifest) this.index = createIndex(manifest)
    return this.index
  }
}

function createIndex (manifest: Manifest): Index {
  return {
    manifest,
    keysByName: new Map(manifest.keys.map((key) => [key.name, key])),
    keysByHash: new Map(manifest.keys.map((key) => [key.hash, key])),
    shares: new Map(manifest.teams.map((team) => [team.name, team.share]))
  }
}
