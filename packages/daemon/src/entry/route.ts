/**
 * Registers the routes of the API.
 */
import type { Context, Hono } from 'hono'
import { HttpProblem, createProblemResponse, createHttpProblem } from './problem.js'

/** HTTP methods that the API uses. */
export enum Method {
  Get = 'GET',
  Post = 'POST',
  Put = 'PUT',
  Patch = 'PATCH',
  Delete = 'DELETE'
}

/** Handles one request. */
export type Handler = (context: Context) => Response | Promise<Response>

/**
 * Registers handlers for a path. Any other method is answered with 405 and the list of allowed methods.
 *
 * @param app the application
 * @param path the path, with parameters
 * @param handlers a handler for each method
 *
 * @example
 * addRoute(app, '/healthz', { [Method.Get]: () => new Response('ok') })
 */
export function addRoute (app: Hono, path: string, handlers: Partial<Record<Method, Handler>>): void {
  const methods = Object.values(Method).filter((method) => handlers[method] !== undefined)
  for (const method of methods) app.on(method, path, handlers[method]!)
  const allow = methods.join(', ')
  app.all(path, (context) => {
    const detail = `${context.req.method} is not allowed here. Use one of: ${allow}.`
    return createProblemResponse(createHttpProblem(HttpProblem.WrongMethod, detail), { allow })
  })
}
