/**
 * Registers the methods of one path.
 */
import type { Context, Hono } from 'hono'
import { Misuse, answerProblem, createMisuse } from './problem.js'

/** Methods that the API uses. */
export enum Method {
  Get = 'GET',
  Post = 'POST',
  Put = 'PUT',
  Patch = 'PATCH',
  Delete = 'DELETE'
}

/** Answers one call. */
export type Handler = (context: Context) => Response | Promise<Response>

/**
 * Registers handlers for a path; any other method is answered by 405 with the methods that there are.
 *
 * @param app the application
 * @param path the path, with parameters
 * @param handlers a handler for each method
 *
 * @example
 * addPath(app, '/healthz', { [Method.Get]: () => new Response('ok') })
 */
export function addPath (app: Hono, path: string, handlers: Partial<Record<Method, Handler>>): void {
  const methods = Object.values(Method).filter((method) => handlers[method] !== undefined)
  for (const method of methods) app.on(method, path, handlers[method]!)
  const allow = methods.join(', ')
  app.all(path, (context) => {
    const detail = `${context.req.method} is not possible here. Use one of: ${allow}.`
    return answerProblem(createMisuse(Misuse.WrongMethod, detail), { allow })
  })
}
