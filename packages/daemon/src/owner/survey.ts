/**
 * What an owner reports about its shard.
 */
import { addResources, NO_RESOURCES } from '@fireflymount/protocol/resources'
import type { QueueReport, SurveyReport, TeamReport, WorkerReport } from '@fireflymount/protocol/survey'
import type { Owner } from './owner.js'
import type { Session } from './session.js'
import { Stage } from './state.js'

/** Waiting and running work of one queue or team. */
interface Count {
  waiting: number
  running: number
}

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
  const queues = new Map<string, Count>()
  const teams = new Map<string, Count>()
  countWork(owner, queues, teams)
  return {
    shard: parts.shard,
    node: parts.node,
    epoch: parts.epoch,
    confirmed: parts.confirmed(),
    waiting: scheduler.waiting(),
    running: scheduler.running(),
    workers: [...owner.fleet.all()].map((session) => surveyWorker(owner, session)),
    teams: parts.manifest().teams.map((team) => surveyTeam(owner, team.name, teams.get(team.name)?.waiting ?? 0)),
    queues: [...queues].map(([queue, count]): QueueReport => ({ queue, ...count })),
    countingSinceMs: parts.burn.sinceMs,
    burn: parts.burn.report(parts.clock.wall())
  }
}

function surveyWorker (owner: Owner, session: Session): WorkerReport {
  const { id, parts: { vm } } = session
  return {
    worker: id,
    condition: conditionOf(owner, id, session.adopted),
    zone: vm.zone,
    rack: vm.rack,
    capacity: vm.resources,
    used: owner.runs.on(id).reduce((used, run) => addResources(used, run.task.size), NO_RESOURCES),
    slots: vm.slots,
    running: owner.runs.on(id).length
  }
}

function conditionOf (owner: Owner, id: string, adopted: boolean): string {
  if (!adopted) return 'unreachable'
  return owner.fleet.isClosed(id) ? 'closed' : 'ready'
}

function surveyTeam (owner: Owner, team: string, waiting: number): TeamReport {
  const { allotments, state, clock } = owner.parts
  return {
    team,
    waiting,
    running: owner.scheduler.used(team),
    allotment: allotments.allotment(team, state, clock.now())
  }
}

/** Counts durable tasks by their state, and requests by their place. */
function countWork (owner: Owner, queues: Map<string, Count>, teams: Map<string, Count>): void {
  for (const queue of owner.parts.manifest().queues) {
    if (queue.upstream === owner.parts.shard) queues.set(queue.name, { waiting: 0, running: 0 })
  }
  for (const job of owner.parts.state.jobs.values()) {
    if (job.endedMs !== undefined) continue
    for (const task of job.tasks) {
      if (task.stage === Stage.Over) continue
      add(queues, job.queue, task.stage === Stage.Waiting)
      add(teams, job.team, task.stage === Stage.Waiting)
    }
  }
  for (const call of owner.calls.waitingTasks()) {
    add(queues, call.kind, true)
    add(teams, call.team, true)
  }
  for (const call of owner.calls.runningTasks()) {
    add(queues, call.kind, false)
    add(teams, call.team, false)
  }
}

function add (counts: Map<string, Count>, name: string, waits: boolean): void {
  const count = counts.get(name) ?? { waiting: 0, running: 0 }
  if (waits) count.waiting++
  else count.running++
  counts.set(name, count)
}
