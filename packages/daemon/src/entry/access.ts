/**
 * Authentication and authorization of callers and operators by their keys. Operators authenticate with administration keys.
 */
import { createHash, timingSafeEqual } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import type { Configuration } from '../configuration/configuration.js'
import type { Job } from '@fireflymount/protocol/message'
import type { Key, Queue } from '@fireflymount/manifest/manifest'
import type { Settings } from '@fireflymount/manifest/settings'
import type { ConfigurationIndex } from './configuration-index.js'

const BEARER = /^Bearer +([\x21-\x7e]+) *$/i
const INVALID_KEY_DETAIL = 'The key is not valid or has been withdrawn. Send "Authorization: Bearer <key name>.<secret>" with a valid key.'
const MISSING_KEY_DETAIL = 'This endpoint needs a key. Send it as "Authorization: Bearer <key name>.<secret>".'

/** Checks keys against the configuration revision in effect. Secrets are hashed at once and never stored. */
export class AccessControl {
  private readonly administrators: readonly Buffer[]

  constructor (
    private readonly configuration: Configuration,
    private readonly configurationIndex: ConfigurationIndex,
    private readonly settings: Settings
  ) {
    this.administrators = settings.administrators.map((hash) => Buffer.from(hash, 'hex'))
  }

  /**
   * Authorizes work on a queue and determines the team on whose behalf it runs.
   *
   * @param queue the queue
   * @param header the value of the Authorization header, if there is one
   * @returns the team, or why the work is refused
   */
  teamFor (queue: Queue, header: string | undefined): Result<string, Refusal> {
    if (header === undefined && queue.open) return teamOfOpenQueue(queue)
    const key = this.checkKey(header)
    if (key.isErr()) return err(key.error)
    return this.checkTeam(queue, key.value.team).map(() => key.value.team)
  }

  /**
   * Checks that a team may use a queue.
   *
   * @param queue the queue
   * @param team the team
   * @returns nothing, or why it may not
   */
  checkTeam (queue: Queue, team: string): Result<void, Refusal> {
    if (queue.teams.includes(team)) return ok()
    return err(refuse(Reason.WrongTeam, `The team "${team}" may not use the queue "${queue.name}". An operator can add it to the queue's teams.`))
  }

  /**
   * Checks that this node's configuration is recent enough to check the keys of callers.
   *
   * @param queue the queue that they use; an open queue needs no key
   * @returns nothing, or why callers are refused
   */
  checkFreshness (queue: Queue): Result<void, Refusal> {
    return queue.open ? ok() : this.checkConfigurationAge()
  }

  /**
   * Checks that a caller may see and cancel a job.
   *
   * @param job the job
   * @param header the value of the Authorization header, if there is one
   * @returns nothing, or why the caller may not
   */
  checkJob (job: Job, header: string | undefined): Result<void, Refusal> {
    if (this.isAdministrator(header)) return ok()
    const queue = this.configurationIndex.queue(job.queue)
    if (header === undefined && queue?.open && queue.teams[0] === job.team) return ok()
    const key = this.checkKey(header)
    if (key.isErr()) return err(key.error)
    if (key.value.team === job.team) return ok()
    return err(refuse(Reason.WrongTeam, 'The job belongs to another team. Use a key of the team that submitted it.'))
  }

  /**
   * Checks the key of a caller, if there is one, before a job is looked up.
   *
   * @param header the value of the Authorization header, if there is one
   * @returns nothing, or why the key is refused
   */
  checkCaller (header: string | undefined): Result<void, Refusal> {
    if (header === undefined || this.isAdministrator(header)) return ok()
    return this.checkKey(header).map(() => undefined)
  }

  /**
   * Checks an administration key.
   *
   * @param header the value of the Authorization header, if there is one
   * @returns nothing, or why the caller is not an administrator
   */
  checkAdministrator (header: string | undefined): Result<void, Refusal> {
    if (header === undefined) return err(refuse(Reason.BadKey, 'This endpoint needs an administration key. Send it as "Authorization: Bearer <secret>".'))
    if (this.isAdministrator(header)) return ok()
    return err(refuse(Reason.BadKey, 'The administration key is not valid. Its hash must be listed in "administrators" of the node\'s settings.'))
  }

  private isAdministrator (header: string | undefined): boolean {
    const token = parseBearer(header)
    if (token === undefined) return false
    const digest = hashSecret(token)
    let found = false
    for (const administrator of this.administrators) {
      if (isSame(digest, administrator)) found = true
    }
    return found
  }

  private checkKey (header: string | undefined): Result<Key, Refusal> {
    if (header === undefined) return err(refuse(Reason.BadKey, MISSING_KEY_DETAIL))
    const token = parseBearer(header)
    if (token === undefined) return err(refuse(Reason.BadKey, INVALID_KEY_DETAIL))
    const fresh = this.checkConfigurationAge()
    if (fresh.isErr()) return err(fresh.error)
    const key = this.findKey(token)
    return key === undefined ? err(refuse(Reason.BadKey, INVALID_KEY_DETAIL)) : ok(key)
  }

  private checkConfigurationAge (): Result<void, Refusal> {
    if (this.configuration.ageMs() <= this.settings.timing.staleMs) return ok()
    return err(refuse(Reason.ConfigurationStale, 'This node cannot check whether the key is still valid, because its configuration was not confirmed recently. Nothing was run; retry.'))
  }

  private findKey (token: string): Key | undefined {
    const dot = token.lastIndexOf('.')
    const named = dot < 1 ? undefined : this.configurationIndex.keyByName(token.slice(0, dot))
    const digest = hashSecret(named === undefined ? token : token.slice(dot + 1))
    const key = named ?? this.configurationIndex.keyByHash(digest.toString('hex'))
    if (key === undefined) return undefined
    return isSame(digest, Buffer.from(key.hash, 'hex')) ? key : undefined
  }
}

function teamOfOpenQueue (queue: Queue): Result<string, Refusal> {
  const team = queue.teams[0]
  if (team !== undefined) return ok(team)
  return err(refuse(Reason.WrongTeam, `The open queue "${queue.name}" has no team to run the work for. An operator must list one in the queue's teams.`))
}

function parseBearer (header: string | undefined): string | undefined {
  return header === undefined ? undefined : BEARER.exec(header)?.[1]
}

function hashSecret (secret: string): Buffer {
  return createHash('sha256').update(secret).digest()
}

function isSame (left: Buffer, right: Buffer): boolean {
  return left.length === right.length && timingSafeEqual(left, right)
}
