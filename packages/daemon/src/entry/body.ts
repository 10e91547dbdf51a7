/**
 * Reads and checks JSON bodies of requests.
 */
import { err, ok, type Result } from 'neverthrow'
import { Reason, refuse } from '@fireflymount/protocol/refusal'
import { HttpProblem, createBadRequest, createHttpProblem, createProblem, type Problem } from './problem.js'

/**
 * Maximum depth of nested values in a body. It has a margin: only much deeper values would overflow the stack in the recursive
 * codecs for messages between nodes.
 */
const MAX_DEPTH = 100
const JSON_TYPE = /^application\/(?:[\w.-]+\+)?json *(?:;|$)/i

/**
 * Reads a request's body as JSON.
 *
 * @param request the HTTP request
 * @param maxBytes the size limit of the body
 * @returns the value, or a problem that describes the error
 *
 * @example
 * const body = await readJson(context.req.raw, settings.limits.bodyBytes)
 * if (body.isErr()) return createProblemResponse(body.error)
 */
export async function readJson (request: Request, maxBytes: number): Promise<Result<unknown, Problem>> {
  if (!JSON_TYPE.test(request.headers.get('content-type') ?? '')) {
    return err(createHttpProblem(HttpProblem.WrongContentType, 'The body must be JSON. Send it with "Content-Type: application/json".'))
  }
  const declared = request.headers.get('content-length')
  if (Number(declared) > maxBytes) return err(createTooLarge(maxBytes))
  const text = await readText(request, declared === null ? maxBytes : undefined)
  if (text.isErr()) return err(text.error)
  return parseJson(text.value)
}

/** The HTTP parser enforces a declared length, so only the size of a body without one is counted here. */
async function readText (request: Request, maxBytes: number | undefined): Promise<Result<string, Problem>> {
  try {
    const bytes = maxBytes === undefined ? await request.arrayBuffer() : await readChunks(request, maxBytes)
    if (bytes === undefined) return err(createTooLarge(maxBytes!))
    return ok(new TextDecoder('utf-8', { fatal: true }).decode(bytes))
  } catch {
    return err(createBadRequest('The body was incomplete or is not valid UTF-8. Send it again as UTF-8.'))
  }
}

async function readChunks (request: Request, maxBytes: number): Promise<Uint8Array | undefined> {
  const chunks: Uint8Array[] = []
  let length = 0
  for await (const chunk of request.body ?? []) {
    length += chunk.length
    if (length > maxBytes) return undefined
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

function parseJson (text: string): Result<unknown, Problem> {
  try {
    const value: unknown = JSON.parse(text)
    if (!isDeeperThan(value, MAX_DEPTH)) return ok(value)
    return err(createBadRequest(`The body is nested more than ${MAX_DEPTH} levels deep. Flatten it.`))
  } catch (error) {
    return err(createBadRequest(`The body is not valid JSON: ${describeSyntaxError(error)}`))
  }
}

function isDeeperThan (value: unknown, depth: number): boolean {
  if (typeof value !== 'object' || value === null) return false
  if (depth === 0) return true
  for (const element of Object.values(value)) {
    if (isDeeperThan(element, depth - 1)) return true
  }
  return false
}

/** Reports only the position of a syntax error: the text of the body may contain secrets, which must not be echoed. */
function describeSyntaxError (error: unknown): string {
  const position = /position \d+(?: \(line \d+ column \d+\))?/.exec(String(error))
  return position === null ? 'it is empty or ends too early.' : `syntax error at ${position[0]}.`
}

/**
 * Creates the problem for a body that is too large.
 *
 * @param maxBytes the size limit of the body
 * @returns the problem, with status 413
 */
export function createTooLarge (maxBytes: number): Problem {
  return createProblem(refuse(Reason.TooLarge, `The body is larger than the ${maxBytes} bytes that this node accepts. Send a smaller body.`))
}

/**
 * Creates the problem for a body whose values take more memory than all requests may take.
 *
 * @returns the problem, with status 413
 */
export function createTooManyValues (): Problem {
  return createProblem(refuse(Reason.TooLarge, 'The body has more values than this node accepts. Send a smaller body.'))
}
