/**
 * A test cell: the HTTP API of the daemon with a fake configuration and router, behind a proxy that can drop calls and answers.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { once } from 'node:events'
import { buffer } from 'node:stream/consumers'
import { err, ok, type Result } from 'neverthrow'
import { Configuration, type Revision } from '@fireflymount/daemon/configuration/configuration'
import { Metrics } from '@fireflymount/daemon/metrics'
import { Lifecycle } from '@fireflymount/daemon/entry/lifecycle'
import { serveApi, type ApiService } from '@fireflymount/daemon/entry/server'
import { Router } from '@fireflymount/daemon/peer/router'
import { ConfigurationState } from '@fireflymount/manifest/configuration-state'
import { hashSecret } from '@fireflymount/manifest/hash'
import { Outcome } from '@fireflymount/manifest/delta-result'
import { SystemClock } from '@fireflymount/service-clients/clock'
import { Reason, refuse, type Refusal } from '@fireflymount/protocol/refusal'
import { runProgram } from '../src/program.js'
import { Terminal } from '../src/terminal.js'
import type { Delta } from '@fireflymount/manifest/delta'
import type { Section } from '@fireflymount/manifest/manifest'
import type { RecordsPage, Request } from '@fireflymount/protocol/message'

export const OPERATOR_SECRET = 'operator-secret-99'

/** Applies publications as the daemon does, without a log. */
export class LocalConfiguration extends Configuration {
  readonly state = new ConfigurationState()
  readonly published: Delta[] = []
  /** Runs once, before the next publication is applied. */
  beforePublish: (() => void) | undefined
  private offset = 0

  current (): Revision {
    return { revision: this.state.revision(), manifest: this.state.manifest() }
  }

  changedAt (section: string, name: string): number | undefined {
    return this.state.changedAt(section as Section, name)
  }

  ageMs (): number {
    return 0
  }

  onRevision (): void {}

  async publish (delta: Delta): Promise<Result<Revision, Refusal>> {
    this.published.push(delta)
    const beforePublish = this.beforePublish
    this.beforePublish = undefined
    beforePublish?.()
    const { outcome } = this.state.apply(delta, this.offset++)
    if (outcome === Outcome.Accepted) return ok(this.current())
    return err(refuse(outcome === Outcome.Conflict ? Reason.Conflict : Reason.Malformed, 'Rejected.'))
  }

  /** Publishes a change on behalf of another operator. */
  publishAsOther (section: Section, value: { name: string }): void {
    this.state.apply({ publish: `other-${this.offset}`, base: this.state.revision(), changes: [{ section, name: value.name, value }] }, this.offset++)
  }

  recordsFrom (): RecordsPage {
    return { records: [], next: 0 }
  }

  async run (): Promise<void> {}
}

/** Records the requests and returns the answers that a test sets. */
export class FakeRouter extends Router {
  readonly asked: Request[] = []
  answer: (request: Request, shard: string) => Result<unknown, Refusal> = () => ok(null)

  async askOwner (shard: string, request: Request): Promise<Result<unknown, Refusal>> {
    this.asked.push(request)
    return this.answer(request, shard)
  }

  async askNode (): Promise<Result<unknown, Refusal>> {
    return ok(null)
  }

  nodes (): readonly string[] {
    return ['node-1']
  }
}

class NoMetrics extends Metrics {
  count (): void {}
  timing (): void {}
  gauge (): void {}
}

/** Faults that the proxy injects into a call. */
export enum Fault {
  /** Closes the connection before the call is forwarded. */
  LoseCall = 'lose-call',
  /** Closes the connection after the call took effect. */
  LoseAnswer = 'lose-answer'
}

/** Exit code and output of a run of the tool. */
export interface RunOutput {
  readonly exit: number
  readonly out: string
  readonly err: string
}

/** Environment variables. */
type Variables = Readonly<Record<string, string | undefined>>

/** Serves the API, and runs the tool against it. */
export class Cell {
  readonly configuration = new LocalConfiguration()
  readonly router = new FakeRouter()
  /** Faults to inject into the next calls that are not reads, one each. */
  faults: Fault[] = []
  url = ''
  private service: ApiService | undefined
  private proxy: Server | undefined

  async start (): Promise<void> {
    const lifecycle = new Lifecycle()
    lifecycle.serve()
    const { configuration, router } = this
    this.service = await serveApi({
      configuration,
      router,
      lifecycle,
      logger: { warn: () => {} },
      usage: () => { throw new Error('not used') },
      metrics: new NoMetrics(),
      clock: new SystemClock(),
      settings: {
        node: 'node-1',
        zone: 'fukuoka',
        region: 'kyushu',
        api: { host: '127.0.0.1', port: 0 },
        peer: { host: '127.0.0.1', port: 0 },
        platform: { log: '', machines: '' },
        administrators: [hashSecret(OPERATOR_SECRET)],
        limits: { bodyBytes: 100_000, headerBytes: 8192, connections: 50, requests: 50 },
        timing: {
          heartbeatMs: 1,
          silenceMs: 1,
          takeoverMs: 1,
          leaseMs: 1,
          renewMs: 1,
          confirmationMs: 1,
          commitMs: 1,
          staleMs: 4000,
          drainMs: 20
        },
        log: { level: 'silent' }
      }
    })
    const proxy = createServer((request, response) => { this.forward(request, response).catch(() => response.destroy()) })
    proxy.listen(0, '127.0.0.1')
    await once(proxy, 'listening')
    this.proxy = proxy
    this.url = `http://127.0.0.1:${(proxy.address() as { port: number }).port}`
  }

  async stop (): Promise<void> {
    this.proxy!.closeAllConnections()
    this.proxy!.close()
    await this.service!.close()
  }

  async run (args: readonly string[], input = '', variables: Variables = {}): Promise<RunOutput> {
    const terminal = new RecordingTerminal(input, {
      FIREFLYMOUNT_SERVER: this.url, FIREFLYMOUNT_KEY: OPERATOR_SECRET, ...variables
    })
    const exit = await runProgram(args, terminal)
    return { exit, out: terminal.out, err: terminal.err }
  }

  private async forward (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await buffer(request)
    const fault = request.method === 'GET' ? undefined : this.faults.shift()
    if (fault === Fault.LoseCall) {
      response.destroy()
      return
    }
    const { port } = this.service!.address
    const headers = Object.entries(request.headers).filter(([name]) => !['connection', 'content-length', 'host'].includes(name))
    const answer = await fetch(`http://127.0.0.1:${port}${request.url}`, {
      method: request.method,
      headers: headers as Array<[string, string]>,
      body: body.length === 0 ? undefined : new Uint8Array(body)
    })
    const text = await answer.text()
    if (fault === Fault.LoseAnswer) response.destroy()
    else response.writeHead(answer.status, Object.fromEntries(answer.headers)).end(text)
  }
}

/** Provides input and environment variables, and records the output. */
class RecordingTerminal extends Terminal {
  out = ''
  err = ''

  constructor (private readonly input: string, private readonly variables: Variables) {
    super()
  }

  write (text: string): void {
    this.out += text
  }

  warn (text: string): void {
    this.err += text
  }

  getVariable (name: string): string | undefined {
    return this.variables[name]
  }

  async readInput (): Promise<string> {
    return this.input
  }
}
