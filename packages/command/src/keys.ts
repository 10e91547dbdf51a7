/**
 * Commands on keys: grant and withdraw.
 */
import { randomBytes } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { hashSecret } from '@fireflymount/manifest/hash'
import { Section } from '@fireflymount/manifest/manifest'
import { readEffective } from './manifest.js'
import { publishPlan } from './publish.js'
import { createMisuse, type Failure } from './failure.js'
import type { Outcome, Session } from './action.js'

const SECRET_BYTES = 32
const SUFFIX_BYTES = 3
const MOST_NAME_LENGTH = 63

/**
 * Creates a key for a team. Only the hash of its secret is published; the secret is printed once.
 *
 * @param session the client and the terminal
 * @param team the team
 * @param chosen the key's public name; a new one is made if it is absent
 * @returns the key as callers send it
 */
export async function grantKey (session: Session, team: string, chosen?: string): Promise<Result<Outcome, Failure>> {
  const effective = await readEffective(session.client)
  if (effective.isErr()) return err(effective.error)
  const { manifest, revision } = effective.value
  const name = chosen ?? createName(team)
  if (!manifest.teams.some((each) => each.name === team)) {
    return err(createMisuse(`There is no team "${team}". Run "fireflymount get teams" to see all.`))
  }
  if (manifest.keys.some((each) => each.name === name)) {
    return err(createMisuse(`There is a key "${name}" already. Choose another name, or withdraw it first.`))
  }
  const secret = randomBytes(SECRET_BYTES).toString('base64url')
  const value = { name, team, hash: hashSecret(secret) }
  const changes = [{ section: Section.Keys, name, value }]
  const published = await publishPlan(session.client, { base: revision, before: manifest, changes })
  return published.map((publication) => ({
    value: { name, team, key: `${name}.${secret}`, revision: publication.revision },
    text: `${name}.${secret}\n`,
    remarks: [`The key "${name}" of the team "${team}" is granted at revision ${publication.revision}. It is not shown again.`]
  }))
}

/**
 * Withdraws a key.
 *
 * @param session the client and the terminal
 * @param name the key's public name
 * @returns the revision from which it is refused
 */
export async function withdrawKey (session: Session, name: string): Promise<Result<Outcome, Failure>> {
  const effective = await readEffective(session.client)
  if (effective.isErr()) return err(effective.error)
  const { manifest, revision } = effective.value
  if (!manifest.keys.some((each) => each.name === name)) {
    return ok({ value: { name, revision }, text: `There is no key "${name}" at revision ${revision}; nothing to withdraw.\n` })
  }
  const changes = [{ section: Section.Keys, name }]
  const published = await publishPlan(session.client, { base: revision, before: manifest, changes })
  return published.map((publication) => ({
    value: { name, revision: publication.revision },
    text: `The key "${name}" is withdrawn at revision ${publication.revision}.\n`
  }))
}

function createName (team: string): string {
  const suffix = `-${randomBytes(SUFFIX_BYTES).toString('hex')}`
  return team.slice(0, MOST_NAME_LENGTH - suffix.length) + suffix
}
