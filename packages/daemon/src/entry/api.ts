/**
 * The HTTP API of a node, for callers, operators and the load balancer.
 */
import { Hono } from 'hono'
import { createJsonResponse } from './json-response.js'
import { AccessControl } from './access.js'
import { onConfiguration, onObject, onPatch, onPut, onRemove } from './administration.js'
import { Admission } from './admission.js'
import { ConfigurationIndex } from './configuration-index.js'
import { onDryRun } from './dry-run.js'
import { onCancel, onExplain, onStatus, onSubmit } from './jobs.js'
import { Method, addRoute } from './route.js'
import { Phase } from './lifecycle.js'
import { HttpProblem, createProblemResponse, createHttpProblem, createProblem } from './problem.js'
import { onRequest } from './requests.js'
import { RetryBudget } from './retry-budget.js'
import { onAdminExplain, onBurn, onDrain, onClusterStatus, onEvacuation, onShard } from './status.js'
import { onUsage } from './usage.js'
import type { ApiContext, ApiOptions } from './api-context.js'

/**
 * Creates the application with all routes of the API.
 *
 * @param options the components that the API uses
 * @returns the application; `serveApi` serves it, and tests call its `request`
 *
 * @example
 * const api = createApi({ configuration, router, metrics, settings, clock, lifecycle, usage })
 * const answer = await api.request('/healthz')
 */
export function createApi (options: ApiOptions): Hono {
  const api = createContext(options)
  const app = new Hono()
  app.use(async (context, next) => {
    await next()
    if (options.lifecycle.current() === Phase.Draining) context.res.headers.set('connection', 'close')
  })
  addHealthRoutes(app, options)
  addCallerRoutes(app, api)
  addOperatorRoutes(app, api)
  app.notFound((context) => {
    return createProblemResponse(createHttpProblem(HttpProblem.UnknownResource, `There is no resource at ${context.req.path}. The API documentation lists the endpoints.`))
  })
  app.onError(() => {
    options.metrics.count('entry.faults')
    return createProblemResponse(createHttpProblem(HttpProblem.Internal, 'An internal error occurred while the node handled the request. It is unknown whether the request took effect.'))
  })
  return app
}

function createContext (options: ApiOptions): ApiContext {
  const configurationIndex = new ConfigurationIndex(options.configuration)
  const access = new AccessControl(options.configuration, configurationIndex, options.settings)
  const admission = new Admission(configurationIndex, options.settings.limits.requests)
  return { ...options, configurationIndex, access, admission, retryBudget: new RetryBudget() }
}

function addHealthRoutes (app: Hono, { lifecycle, configuration }: ApiOptions): void {
  addRoute(app, '/healthz', { [Method.Get]: () => createJsonResponse({ status: 'ok' }) })
  addRoute(app, '/readyz', {
    [Method.Get]: () => {
      const phase = lifecycle.current()
      const ready = phase === Phase.Serving && Number.isFinite(configuration.ageMs())
      return createJsonResponse({ phase, ready }, ready ? 200 : 503)
    }
  })
}

function addCallerRoutes (app: Hono, api: ApiContext): void {
  addRoute(app, '/v1/queues/:queue/requests', { [Method.Post]: (context) => onRequest(api, context) })
  addRoute(app, '/v1/queues/:queue/jobs', { [Method.Post]: (context) => onSubmit(api, context) })
  addRoute(app, '/v1/jobs/:id', {
    [Method.Get]: (context) => onStatus(api, context),
    [Method.Delete]: (context) => onCancel(api, context)
  })
  addRoute(app, '/v1/jobs/:id/explanation', { [Method.Get]: (context) => onExplain(api, context) })
}

function addOperatorRoutes (app: Hono, api: ApiContext): void {
  app.use('/v1/admin/*', async (context, next) => {
    const access = api.access.checkAdministrator(context.req.header('authorization'))
    if (access.isErr()) return createProblemResponse(createProblem(access.error))
    await next()
  })
  addRoute(app, '/v1/admin/configuration', {
    [Method.Get]: (context) => onConfiguration(api, context),
    [Method.Patch]: (context) => onPatch(api, context)
  })
  addRoute(app, '/v1/admin/configuration/:section/:name', {
    [Method.Get]: (context) => onObject(api, context),
    [Method.Put]: (context) => onPut(api, context),
    [Method.Delete]: (context) => onRemove(api, context)
  })
  addRoute(app, '/v1/admin/status', { [Method.Get]: () => onClusterStatus(api) })
  addRoute(app, '/v1/admin/shards/:upstream', { [Method.Get]: (context) => onShard(api, context) })
  addRoute(app, '/v1/admin/jobs/:id/explanation', { [Method.Get]: (context) => onAdminExplain(api, context) })
  addRoute(app, '/v1/admin/queues/:queue/dry-run', { [Method.Get]: (context) => onDryRun(api, context) })
  addRoute(app, '/v1/admin/workers/:upstream/:worker/drain', { [Method.Post]: (context) => onDrain(api, context) })
  addRoute(app, '/v1/admin/zones/:zone/evacuation', { [Method.Post]: (context) => onEvacuation(api, context) })
  addRoute(app, '/v1/admin/node', { [Method.Get]: () => onUsage(api) })
  addRoute(app, '/v1/admin/burn', { [Method.Get]: () => onBurn(api) })
}
