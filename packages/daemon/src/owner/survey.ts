/**
 * What an owner reports about its shard.
 */
import type { SurveyReport, TeamReport, WorkerReport } from '@fireflymount/protocol/survey'
import type { Owner } from './owner.js'

/**
 * Describes the owner's shard to operators.
 *
 * @param owner the owner
 * @returns workers, teams, queues and burn counts
 *
 * @example
 * return ok(surveyShard(owner))
 */
export function surveyShard (owner: Owner): SurveyReport {
  const { parts, scheduler } = owner
  return {
    shard: parts.shard,
    node: parts.node,
    epoch: parts.epoch,
    confirmed: parts.confirmed(),
    waiting: scheduler.waiting(),
    running: scheduler.running(),
    workers: [...owner.sessions.keys()].map((id) => surveyWorker(owner, id)),
    teams: parts.manifest().teams.map((team) => surveyTeam(owner, team.name)),
    queues: [],
    countingSinceMs: parts.burn.sinceMs,
    burn: parts.burn.report(parts.clock.wall())
  }
}

function surveyWorker (owner: Owner, id: string): WorkerReport {
  const session = owner.sessions.get(id)!
  const { vm } = session.parts
  return {
    worker: id,
    condition: conditionOf(owner, id, session.adopted),
    zone: vm.zone,
    rack: vm.rack,
    capacity: vm.resources,
    used: undefined,
    slots: vm.slots,
    running: owner.runs.on(id).length
  }
}

function conditionOf (owner: Owner, id: string, adopted: boolean): string {
  if (!adopted) return 'unreachable'
  return owner.isClosed(id) ? 'closed' : 'ready'
}

function surveyTeam (owner: Owner, team: string): TeamReport {
  const { allotments, state, clock } = owner.parts
  return {
    team,
    waiting: 0,
    running: owner.scheduler.used(team),
    allotment: allotments.allotment(team, state, clock.now())
  }
}
