import { Reason } from '@fireflymount/protocol/refusal'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import type { Node } from '../../src/node.js'
import { StoreFailure, Topic, type StoreCall } from '../../src/ports/store.js'
import { Cluster, waitFor } from './cluster.js'

let cluster: Cluster
beforeEach(() => { cluster = new Cluster(1) })
afterEach(() => { cluster.close() })

/** Starts a node, and returns the topics of its reads in the order in which they reach the store. */
async function start (fault: (call: StoreCall) => StoreFailure | undefined): Promise<string[]> {
  const reads: string[] = []
  cluster.store.fault = (call) => {
    if (!('append' in call)) reads.push(`${'newest' in call ? 'newest' : 'later'} ${call.topic}`)
    return fault(call)
  }
  await cluster.start([{ name: 'a', callMs: 0 }])
  return reads
}

/** Returns why a node refuses a request without a queue. */
function refusalOf (node: Node): Reason {
  return node.jobService.authorize('unknown.example', '/', '')._unsafeUnwrapErr().reason
}

describe('a node whose settings change', () => {
  // Guards against settings that only new connections, or only the next owner, see after a reload.
  it('uses those that can change at once, and names those that need a restart', async () => {
    await cluster.start([{ name: 'a', callMs: 0 }])
    const [node] = cluster.nodes
    expect(await waitFor(() => node!.ready(), 5000)).toBe(true)
    const settings = cluster.settings.get('a')!
    const change = node!.applySettings({ ...settings, configurationAgeMaxMs: -1, leaseMs: settings.leaseMs + 1 })
    expect(change).toEqual({ applied: ['configurationAgeMaxMs'], restartRequired: ['leaseMs'] })
    expect([node!.ready(), refusalOf(node!)]).toEqual([false, Reason.ConfigurationStale])
    node!.applySettings({ ...settings, configurationAgeMaxMs: 3500 })
    expect([node!.ready(), refusalOf(node!)]).toEqual([true, Reason.NoSuchQueue])
  })
})

describe('a node that starts', () => {
  // Guards against a configuration that waits on a narrow link behind the pages of the journal, while the node refuses all requests.
  it('reads the configuration before it begins to read the journal', async () => {
    const reads = await start(() => undefined)
    expect(await waitFor(() => cluster.nodes[0]!.ready(), 5000)).toBe(true)
    expect(reads.slice(0, 3)).toEqual([
      `newest ${Topic.Configuration}`, `later ${Topic.Configuration}`, `newest ${Topic.Journal}`
    ])
  })

  it('reads the journal also if the configuration cannot be read at first', async () => {
    let refusing = true
    const reads = await start((call) => refusing && call.topic === Topic.Configuration ? StoreFailure.Refused : undefined)
    expect(await waitFor(() => reads.includes(`newest ${Topic.Journal}`), 5000)).toBe(true)
    refusing = false
    expect(await waitFor(() => cluster.nodes[0]!.ready(), 5000)).toBe(true)
  })
})
