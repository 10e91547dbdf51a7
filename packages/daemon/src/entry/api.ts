/**
 * The HTTP API of a node, for callers, operators and the balancer.
 */
import { Hono } from 'hono'
import { answerJson } from './answer.js'
import { Access } from './access.js'
import { onConfiguration, onObject, onPatch, onPut, onRemove } from './administration.js'
import { Admission } from './admission.js'
import { Directory } from './directory.js'
import { onCancel, onExplain, onStatus, onSubmit } from './jobs.js'
import { Method, addPath } from './path.js'
import { Phase } from './presence.js'
import { Misuse, answerProblem, createMisuse, createProblem } from './problem.js'
import { onRequest } from './requests.js'
import { RetryBudget } from './retries.js'
import { onAdminExplain, onBurn, onDrain, onOverview, onShard } from './status.js'
import { onUsage } from './usage.js'
import type { Entry, Parts } from './parts.js'

/**
 * Builds the API.
 *
 * @param parts what the API works on
 * @returns the application; `serveApi` serves it, tests call `request`
 *
 * @example
 * const api = createApi({ configuration, router, metrics, settings, clock, presence })
 * const answer = await api.request('/healthz')
 */
export function createApi (parts: Parts): Hono {
  const entry = createEntry(parts)
  const app = new Hono()
  app.use(async (context, next) => {
    await next()
    if (parts.presence.current() === Phase.Draining) context.res.headers.set('connection', 'close')
  })
  addHealth(app, parts)
  addCallers(app, entry)
  addOperators(app, entry)
  app.notFound((context) => {
    return answerProblem(createMisuse(Misuse.UnknownRoute, `There is nothing at ${context.req.path}. The calls are listed in docs/API.md.`))
  })
  app.onError(() => {
    parts.metrics.count('entry.faults')
    return answerProblem(createMisuse(Misuse.Internal, 'The node failed while it handled the call. Whether it took effect is not known.'))
  })
  return app
}

function createEntry (parts: Parts): Entry {
  const directory = new Directory(parts.configuration)
  const access = new Access(parts.configuration, directory, parts.settings)
  const admission = new Admission(directory, parts.settings.limits.requests)
  return { ...parts, directory, access, admission, retries: new RetryBudget() }
}

function addHealth (app: Hono, { presence, configuration }: Parts): void {
  addPath(app, '/healthz', { [Method.Get]: () => answerJson({ status: 'ok' }) })
  addPath(app, '/readyz', {
    [Method.Get]: () => {
      const phase = presence.current()
      const ready = phase === Phase.Serving && Number.isFinite(configuration.ageMs())
      return answerJson({ phase, ready }, ready ? 200 : 503)
    }
  })
}

function addCallers (app: Hono, entry: Entry): void {
  addPath(app, '/v1/queues/:queue/requests', { [Method.Post]: (context) => onRequest(entry, context) })
  addPath(app, '/v1/queues/:queue/jobs', { [Method.Post]: (context) => onSubmit(entry, context) })
  addPath(app, '/v1/jobs/:id', {
    [Method.Get]: (context) => onStatus(entry, context),
    [Method.Delete]: (context) => onCancel(entry, context)
  })
  addPath(app, '/v1/jobs/:id/explanation', { [Method.Get]: (context) => onExplain(entry, context) })
}

function addOperators (app: Hono, entry: Entry): void {
  app.use('/v1/admin/*', async (context, next) => {
    const access = entry.access.checkAdministrator(context.req.header('authorization'))
    if (access.isErr()) return answerProblem(createProblem(access.error))
    await next()
  })
  addPath(app, '/v1/admin/configuration', {
    [Method.Get]: (context) => onConfiguration(entry, context),
    [Method.Patch]: (context) => onPatch(entry, context)
  })
  addPath(app, '/v1/admin/configuration/:section/:name', {
    [Method.Get]: (context) => onObject(entry, context),
    [Method.Put]: (context) => onPut(entry, context),
    [Method.Delete]: (context) => onRemove(entry, context)
  })
  addPath(app, '/v1/admin/status', { [Method.Get]: () => onOverview(entry) })
  addPath(app, '/v1/admin/shards/:upstream', { [Method.Get]: (context) => onShard(entry, context) })
  addPath(app, '/v1/admin/jobs/:id/explanation', { [Method.Get]: (context) => onAdminExplain(entry, context) })
  addPath(app, '/v1/admin/workers/:upstream/:worker/drain', { [Method.Post]: (context) => onDrain(entry, context) })
  addPath(app, '/v1/admin/node', { [Method.Get]: () => onUsage(entry) })
  addPath(app, '/v1/admin/burn', { [Method.Get]: () => onBurn(entry) })
}
