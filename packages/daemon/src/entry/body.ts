/**
 * Reads JSON bodies.
 */
import { err, ok, type Result } from 'neverthrow'
import { Reason, refuse } from '@fireflymount/protocol/refusal'
import { Misuse, createBadRequest, createMisuse, createProblem, type Problem } from './problem.js'

/** Deeper values would exhaust the stack of the codecs between nodes. */
const MOST_DEPTH = 100
const JSON_TYPE = /^application\/(?:[\w.-]+\+)?json *(?:;|$)/i

/**
 * Reads a request's body as JSON.
 *
 * @param request the HTTP request
 * @param bodyBytes the largest body to take
 * @returns the value, or what is wrong with the request
 *
 * @example
 * const body = await readJson(context.req.raw, settings.limits.bodyBytes)
 * if (body.isErr()) return answerProblem(body.error)
 */
export async function readJson (request: Request, bodyBytes: number): Promise<Result<unknown, Problem>> {
  if (!JSON_TYPE.test(request.headers.get('content-type') ?? '')) {
    return err(createMisuse(Misuse.WrongContentType, 'The body must be JSON. Send it with "Content-Type: application/json".'))
  }
  const declared = request.headers.get('content-length')
  if (Number(declared) > bodyBytes) return err(createTooLarge(bodyBytes))
  const text = await readText(request, declared === null ? bodyBytes : undefined)
  if (text.isErr()) return err(text.error)
  return parseJson(text.value)
}

/** A declared length is kept by the HTTP parser, so that only a body without one is counted. */
async function readText (request: Request, bodyBytes: number | undefined): Promise<Result<string, Problem>> {
  try {
    const bytes = bodyBytes === undefined ? await request.arrayBuffer() : await readChunks(request, bodyBytes)
    if (bytes === undefined) return err(createTooLarge(bodyBytes!))
    return ok(new TextDecoder('utf-8', { fatal: true }).decode(bytes))
  } catch {
    return err(createBadRequest('The body did not arrive whole, or is not UTF-8. Send it again as UTF-8.'))
  }
}

async function readChunks (request: Request, bodyBytes: number): Promise<Uint8Array | undefined> {
  const chunks: Uint8Array[] = []
  let length = 0
  for await (const chunk of request.body ?? []) {
    length += chunk.length
    if (length > bodyBytes) return undefined
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

function parseJson (text: string): Result<unknown, Problem> {
  try {
    const value: unknown = JSON.parse(text)
    if (!isDeeper(value, MOST_DEPTH)) return ok(value)
    return err(createBadRequest(`The body is nested more than ${MOST_DEPTH} levels deep. Flatten it.`))
  } catch (error) {
    return err(createBadRequest(`The body is not valid JSON: ${describeSyntax(error)}`))
  }
}

function isDeeper (value: unknown, depth: number): boolean {
  if (typeof value !== 'object' || value === null) return false
  if (depth === 0) return true
  for (const element of Object.values(value)) {
    if (isDeeper(element, depth - 1)) return true
  }
  return false
}

/** The position is told, but nothing of the text, which can hold what must not be repeated. */
function describeSyntax (error: unknown): string {
  const position = /position \d+(?: \(line \d+ column \d+\))?/.exec(String(error))
  return position === null ? 'it ends too early or is empty.' : `wrong at ${position[0]}.`
}

function createTooLarge (bodyBytes: number): Problem {
  return createProblem(refuse(Reason.TooLarge, `The body is larger than the ${bodyBytes} bytes that this node takes. Send less.`))
}
