/**
 * Commands on keys: grant and withdraw.
 */
import { randomBytes } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { hashSecret } from '@fireflymount/manifest/hash'
import { Section } from '@fireflymount/manifest/manifest'
import { readEffectiveConfiguration } from './manifest.js'
import { publishPlan } from './publish.js'
import { createUsageError, type Failure } from './failure.js'
import type { ActionContext, ActionOutput } from './action.js'

const SECRET_BYTES = 32
/** Printed if the outcome of a command stays unknown. */
const CHECK_ADVICE = 'Run "fireflymount get keys" to see whether the key exists.'
/** Random bytes at the end of a generated key name. */
const SUFFIX_BYTES = 3
/** Maximum length of a name in a manifest (NameCodec). */
const MAX_NAME_LENGTH = 63

/**
 * Creates a key for a team. Only the hash of its secret is published; the secret is printed once.
 *
 * @param context the client and the terminal
 * @param team the team
 * @param givenName the key's public name; if it is absent, a name is generated
 * @returns the key as callers send it
 */
export async function grantKey (
  context: ActionContext, team: string, givenName?: string
): Promise<Result<ActionOutput, Failure>> {
  const effective = await readEffectiveConfiguration(context.client)
  if (effective.isErr()) return err(effective.error)
  const { manifest, revision } = effective.value
  const name = givenName ?? createName(team)
  if (!manifest.teams.some((each) => each.name === team)) {
    return err(createUsageError(`There is no team "${team}". Run "fireflymount get teams" to list all.`))
  }
  if (manifest.keys.some((each) => each.name === name)) {
    return err(createUsageError(`The key "${name}" already exists. Choose another name, or withdraw the key first.`))
  }
  const secret = randomBytes(SECRET_BYTES).toString('base64url')
  const value = { name, team, hash: hashSecret(secret) }
  const changes = [{ section: Section.Keys, name, value }]
  const published = await publishPlan(context.client, { base: revision, before: manifest, changes }, CHECK_ADVICE)
  return published.map((publication) => ({
    value: { name, team, key: `${name}.${secret}`, revision: publication.revision },
    text: `${name}.${secret}\n`,
    remarks: [`The key "${name}" of the team "${team}" is granted at revision ${publication.revision}. It is not shown again.`]
  }))
}

/**
 * Withdraws a key, so that it is refused.
 *
 * @param context the client and the terminal
 * @param name the key's public name
 * @returns the key's name, and the revision that publishPlan reports for its removal or at which there was no such key
 */
export async function withdrawKey (context: ActionContext, name: string): Promise<Result<ActionOutput, Failure>> {
  const effective = await readEffectiveConfiguration(context.client)
  if (effective.isErr()) return err(effective.error)
  const { manifest, revision } = effective.value
  if (!manifest.keys.some((each) => each.name === name)) {
    return ok({ value: { name, revision }, text: `There is no key "${name}" at revision ${revision}; nothing to withdraw.\n` })
  }
  const changes = [{ section: Section.Keys, name }]
  const published = await publishPlan(context.client, { base: revision, before: manifest, changes }, CHECK_ADVICE)
  return published.map((publication) => ({
    value: { name, revision: publication.revision },
    text: `The key "${name}" is withdrawn at revision ${publication.revision}.\n`
  }))
}

function createName (team: string): string {
  const suffix = `-${randomBytes(SUFFIX_BYTES).toString('hex')}`
  return team.slice(0, MAX_NAME_LENGTH - suffix.length) + suffix
}
