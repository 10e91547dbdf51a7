/**
 * The fields of a dry run in the query of its URL, such as `team=guild&tasks=8&runtimeMs=60000&size=500,1024,0&gang=true`.
 */

/**
 * Parses a query. Values that do not have the type of their field are left as texts, for the validation to refuse.
 *
 * @param query the query
 * @returns the fields: numbers, an object for `size`, a boolean for `gang`, and texts
 */
export function parseDryRunQuery (query: URLSearchParams): Record<string, unknown> {
  const fields: Record<string, unknown> = {}
  for (const [name, text] of query) fields[name] = parseField(name, text)
  return fields
}

/**
 * Formats the fields of a dry run as a query.
 *
 * @param fields the fields; undefined ones are left out, and an object is a size
 * @returns the query, without a question mark
 */
export function formatDryRunQuery (fields: Readonly<Record<string, unknown>>): string {
  const query = new URLSearchParams()
  for (const [name, value] of Object.entries(fields)) {
    if (value === undefined) continue
    query.set(name, typeof value === 'object' && value !== null ? Object.values(value).join(',') : String(value))
  }
  return query.toString()
}

function parseField (name: string, text: string): unknown {
  switch (name) {
    case 'tasks':
    case 'runtimeMs':
    case 'deadlineMs': return parseAmount(text)
    case 'size': return parseSize(text)
    case 'gang': return text === 'true' || (text === 'false' ? false : text)
    default: return text
  }
}

function parseSize (text: string): unknown {
  const [cpuMilli, memoryMb, accelerators, ...others] = text.split(',').map(parseAmount)
  return others.length === 0 ? { cpuMilli, memoryMb, accelerators } : text
}

function parseAmount (text: string): number | string {
  return /^\d{1,12}$/.test(text) ? Number(text) : text
}
