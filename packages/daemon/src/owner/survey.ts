/**
 * The survey of a shard: its owner's status report for operators.
 */
import { addResources, NO_RESOURCES } from '@fireflymount/protocol/resources'
import type { QueueReport, SurveyReport, TeamReport, WorkerReport } from '@fireflymount/protocol/survey'
import type { Owner } from './owner.js'
import type { Session } from './session.js'
import { Stage } from './state.js'

/** Number of waiting and running tasks and requests of one queue or team. */
interface WorkCount {
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
  const { options, scheduler } = owner
  const queues = new Map<string, WorkCount>()
  const teams = new Map<string, WorkCount>()
  countWork(owner, queues, teams)
  return {
    shard: options.shard,
    node: options.node,
    epoch: options.epoch,
    confirmed: options.confirmed(),
    waiting: scheduler.waiting(),
    running: scheduler.running(),
    evacuatedZones: [...options.state.evacuated],
    workers: [...owner.fleet.all()].map((session) => surveyWorker(owner, session)),
    teams: options.manifest().teams.map((team) => surveyTeam(owner, team.name, teams.get(team.name)?.waiting ?? 0)),
    queues: [...queues].map(([queue, count]): QueueReport => ({ queue, ...count })),
    countingSinceMs: options.burn.sinceMs,
    burn: options.burn.report(options.clock.wall())
  }
}

function surveyWorker (owner: Owner, session: Session): WorkerReport {
  const { id, options: { vm } } = session
  // `used` and `running` cover runs of tasks and replicas only, without requests.
  return {
    worker: id,
    condition: conditionOf(owner, id, session.adopted),
    zone: vm.zone,
    rack: vm.rack,
    capacity: vm.resources,
    used: owner.runs.runsOn(id).reduce((used, run) => addResources(used, run.task.size), NO_RESOURCES),
    slots: vm.slots,
    running: owner.runs.runsOn(id).length
  }
}

function conditionOf (owner: Owner, id: string, adopted: boolean): string {
  if (!adopted) return 'unreachable'
  return owner.fleet.isClosed(id) ? 'closed' : 'ready'
}

function surveyTeam (owner: Owner, team: string, waiting: number): TeamReport {
  const { allotments, state, clock } = owner.options
  // `running` is not a count but the used part of the allotment, including requests.
  return {
    team,
    waiting,
    running: owner.scheduler.usedBy(team),
    allotment: allotments.allotment(team, state, clock.now())
  }
}

/** Counts the waiting and running tasks and requests of each queue and team. */
function countWork (owner: Owner, queues: Map<string, WorkCount>, teams: Map<string, WorkCount>): void {
  for (const queue of owner.options.manifest().queues) {
    if (queue.upstream === owner.options.shard) queues.set(queue.name, { waiting: 0, running: 0 })
  }
  for (const job of owner.options.state.jobs.values()) {
    if (job.endedMs !== undefined) continue
    for (const task of job.tasks) {
      if (task.stage === Stage.Finished) continue
      add(queues, job.queue, task.stage === Stage.Waiting)
      add(teams, job.team, task.stage === Stage.Waiting)
    }
  }
  for (const request of owner.requests.waitingTasks()) {
    add(queues, request.kind, true)
    add(teams, request.team, true)
  }
  for (const request of owner.requests.runningTasks()) {
    add(queues, request.kind, false)
    add(teams, request.team, false)
  }
}

function add (counts: Map<string, WorkCount>, name: string, isWaiting: boolean): void {
  const count = counts.get(name) ?? { waiting: 0, running: 0 }
  if (isWaiting) count.waiting++
  else count.running++
  counts.set(name, count)
}
