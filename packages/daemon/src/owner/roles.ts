/**
 * This node's role in each shard, and the dispatch of requests to these roles.
 */
import type { Log } from '@fireflymount/service-clients/log'
import { StreamJournal } from '@fireflymount/service-clients/stream-journal'
import { findQueue } from '@fireflymount/manifest/lookup'
import type { Manifest } from '@fireflymount/manifest/manifest'
import { MessageKind, type Request } from '@fireflymount/protocol/message'
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { err, type Result } from 'neverthrow'
import { Role, type RoleOptions } from './role.js'
import { ShardState } from './state.js'
import { SNAPSHOT_INTERVAL_MS, SNAPSHOT_INTERVAL_RECORDS, CLAIM_OR_SNAPSHOT_PART_TIMEOUT_MS } from './stream.js'
import { stopProcess } from '../stop-process.js'

/** Retry delay in the refusal of a message for a shard that this node does not know. */
const UNKNOWN_SHARD_RETRY_AFTER_MS = 500

/** Constructor arguments of `Roles`. */
export interface RolesOptions extends Omit<RoleOptions, 'shard' | 'journal' | 'state'> {
  readonly log: Log
}

/** One role for each upstream of the manifest. */
export class Roles {
  private readonly roles = new Map<string, Role>()
  private readonly aborts = new Map<string, AbortController>()
  private readonly journals: StreamJournal[] = []

  constructor (private readonly options: RolesOptions) {}

  /** Opens and closes roles to match the upstreams of a new revision. */
  setManifest (manifest: Manifest): void {
    for (const upstream of manifest.upstreams) {
      if (!this.roles.has(upstream.name)) this.open(upstream.name)
    }
    for (const name of this.roles.keys()) {
      if (!manifest.upstreams.some((upstream) => upstream.name === name)) this.close(name)
    }
  }

  /** Passes a message (protocol `Request`) for the owner or a standby of a shard to this node's role in it and returns the answer. */
  async handle (message: Request): Promise<Result<unknown, Refusal>> {
    const shard = this.shardOf(message)
    const role = shard === undefined ? undefined : this.roles.get(shard)
    if (role === undefined) {
      return err(refuse(Reason.NotOwner, `This node does not know the shard ${shard}.`, UNKNOWN_SHARD_RETRY_AFTER_MS))
    }
    return await role.handle(message)
  }

  /** Hands over all shards during a graceful shutdown. */
  async handOver (): Promise<void> {
    await Promise.all([...this.roles.values()].map((role) => role.handOver()))
  }

  /** Returns the number of requests in progress in the shards that this node owns, including waiting ones. */
  requestsInProgress (): number {
    let count = 0
    for (const role of this.roles.values()) count += role.requestsInProgress()
    return count
  }

  /** Returns the shards that this node owns and may act for. */
  owned (): string[] {
    const names: string[] = []
    for (const [name, role] of this.roles) {
      if (role.owns()) names.push(name)
    }
    return names
  }

  /** Stops all roles. */
  stop (): void {
    for (const name of [...this.roles.keys()]) this.close(name)
    for (const journal of this.journals) journal.close()
  }

  private open (shard: string): void {
    const { settings, log, clock } = this.options
    const state = new ShardState()
    const journal = new StreamJournal({
      log,
      stream: `shard.${shard}`,
      clock,
      stateMachine: state,
      commitMs: settings.timing.commitMs,
      snapshotRecords: SNAPSHOT_INTERVAL_RECORDS,
      snapshotMs: SNAPSHOT_INTERVAL_MS,
      timeoutMs: CLAIM_OR_SNAPSHOT_PART_TIMEOUT_MS
    })
    const role = new Role({ ...this.options, shard, journal, state })
    const stop = new AbortController()
    this.journals.push(journal)
    this.roles.set(shard, role)
    this.aborts.set(shard, stop)
    role.run(stop.signal).catch(stopProcess)
  }

  private close (shard: string): void {
    this.aborts.get(shard)?.abort()
    this.aborts.delete(shard)
    this.roles.delete(shard)
  }

  private shardOf (message: Request): string | undefined {
    switch (message.kind) {
      case MessageKind.Call:
      case MessageKind.DryRun:
        return findQueue(this.options.manifest(), message.queue)?.upstream
      case MessageKind.Submit:
      case MessageKind.Status:
      case MessageKind.Cancel:
      case MessageKind.Explain:
        return shardOfJob(message.job)
      case MessageKind.Transfer: return message.to
      case MessageKind.Borrow: return message.from
      default: return 'shard' in message ? message.shard : undefined
    }
  }
}

function shardOfJob (job: string): string | undefined {
  const dot = job.lastIndexOf('.')
  return dot < 0 ? undefined : job.slice(0, dot)
}
