import { expect, test } from 'vitest'
import { Urgency, Workload } from '@fireflymount/protocol/workload'
import { createShard, createTask } from './fixture.js'

test.each([
  { says: 'urgent work preempts its own team\'s normal work, regardless of the team\'s share ratio', team: 'guild', urgency: Urgency.Urgent, checkpoint: true, preempted: 1 },
  { says: 'normal work preempts nothing', team: 'guild', urgency: Urgency.Normal, checkpoint: true, preempted: 0 },
  { says: 'work that cannot write a checkpoint is not preempted', team: 'guild', urgency: Urgency.Urgent, checkpoint: false, preempted: 0 },
  { says: 'urgent work of a team that is not far below its share does not preempt other teams', team: 'circle', urgency: Urgency.Urgent, checkpoint: true, preempted: 0 }
])('$says', ({ team, urgency, checkpoint, preempted }) => {
  const shard = createShard(2)
  for (let task = 0; task < 16; task++) {
    // If circle submits the urgent task, it runs as many tasks as guild. Then neither share ratio permits a preemption: that of
    // circle is above MAX_PREEMPTING_TEAM_SHARE_RATIO, and that of guild is not above 1.
    const owner = team === 'circle' && task % 2 === 0 ? 'circle' : 'guild'
    const overrides = { team: owner, workload: Workload.Batch, runtimeMs: 60_000, checkpoint: owner === 'guild' && checkpoint }
    shard.enqueue(createTask(`yardage-${task}`, overrides), 0)
  }
  expect(shard.decide(0, 16).placements.length).toBe(16)
  shard.enqueue(createTask('preview', { team, urgency }), 0)
  expect(shard.decide(200, 16).preemptions.length).toBe(preempted)
})
