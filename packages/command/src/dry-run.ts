/**
 * Text of the report of a dry run.
 */
import { OrderFactor, type DryRunReport, type WorkerGroup } from '@fireflymount/protocol/dry-run'
import { formatTable } from './terminal.js'

const NO_OBSTACLE = 'none'

/**
 * Formats the report of a dry run.
 *
 * @param report the report
 * @returns lines that end with a line feed
 */
export function formatDryRun (report: DryRunReport): string {
  const { job, queue, upstream, team, owner, order, workers } = report
  const sender = team === '' ? '' : ` of "${team}"`
  const subject = job === undefined ? 'Work' : `The job ${job}`
  const factors = order.reasons.map(({ factor, value, detail }) => ({ factor, value: withUnit(factor, value), detail }))
  return [
    `${subject}${sender} on the queue "${queue}" goes to the upstream "${upstream}", which ${owner} owns.\n`,
    describeAcceptance(report),
    describeStart(report),
    `Before it in the order: ${order.before}. ${order.detail}\n`,
    '\n' + formatTable(['factor', 'value', 'detail'], factors),
    '\n' + formatTable(['verdict', 'workers', 'startable', 'zone', 'capacity', 'examples'], workers.map(describeGroup))
  ].join('')
}

function describeAcceptance ({ job, accepted, refusal }: DryRunReport): string {
  if (job !== undefined) return 'It is accepted and waits.\n'
  if (accepted || refusal === undefined) return 'It would be accepted.\n'
  const retry = refusal.retryAfterMs === undefined ? '' : ` Retry in ${refusal.retryAfterMs} ms.`
  return `It would be refused (${refusal.reason}): ${refusal.detail}${retry}\n`
}

function describeStart ({ accepted, obstacle, detail, remedy, startsInMs }: DryRunReport): string {
  const subject = accepted ? 'It' : 'If it were accepted, it'
  if (obstacle === NO_OBSTACLE) return `${subject} ${startsInMs === 0 ? 'would' : 'could'} start now. ${detail}\n`
  const start = startsInMs === undefined ? 'When it would start is not known.' : `It would start in about ${startsInMs} ms.`
  return `${subject} would wait (${obstacle}): ${detail} ${start}\n${remedy === '' ? '' : `What helps: ${remedy}\n`}`
}

function withUnit (factor: OrderFactor, value: number | string): string {
  return factor === OrderFactor.Slack || factor === OrderFactor.PastUse ? `${value} ms` : String(value)
}

function describeGroup ({ capacity, examples, ...group }: WorkerGroup): Record<string, unknown> {
  const { cpuMilli, memoryMb, accelerators } = capacity
  return { ...group, capacity: `${cpuMilli / 1000} cores, ${memoryMb} MB, ${accelerators} acc.`, examples: examples.join(' ') }
}
