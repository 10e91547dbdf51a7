/**
 * Successful answers.
 */

/**
 * Answers with JSON. The body is given as text, which the server writes without a stream.
 *
 * @param value the value; nothing is written as null
 * @param status the status
 * @param headers further headers
 * @returns the HTTP answer
 *
 * @example
 * return answerJson(job, 202, { location: `/v1/jobs/${job.job}` })
 */
export function answerJson (value: unknown, status = 200, headers: Readonly<Record<string, string>> = {}): Response {
  return new Response(JSON.stringify(value ?? null), { status, headers: { ...headers, 'content-type': 'application/json' } })
}
