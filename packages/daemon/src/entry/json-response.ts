/**
 * Successful HTTP responses.
 */

/**
 * Creates a JSON response. The body is a string, which the HTTP server writes without creating a stream.
 *
 * @param value the value; undefined is written as null
 * @param status the status code
 * @param headers further headers
 * @returns the response
 *
 * @example
 * return createJsonResponse(job, 202, { location: `/v1/jobs/${job.job}` })
 */
export function createJsonResponse (value: unknown, status = 200, headers: Readonly<Record<string, string>> = {}): Response {
  return new Response(JSON.stringify(value ?? null), { status, headers: { ...headers, 'content-type': 'application/json' } })
}
