/**
 * The command `report burn`.
 */
import { writeFile } from 'node:fs/promises'
import { err, ok, type Result } from 'neverthrow'
import { createReport, type BurnCounts } from './burn.js'
import { Repeat } from './client.js'
import { createMisuse, type Failure } from './failure.js'
import { formatPage, formatReport } from './report.js'
import type { Outcome, Session } from './action.js'

/**
 * Reports on service-level burn.
 *
 * @param session the client and the terminal
 * @param page the file to which an HTML page is written, if there is one
 * @returns the report, with remarks on what is missing
 */
export async function reportBurn (session: Session, page?: string): Promise<Result<Outcome, Failure>> {
  const reply = await session.client.call({ method: 'GET', path: '/v1/admin/burn', repeat: Repeat.Safe })
  if (reply.isErr()) return err(reply.error)
  const report = createReport(reply.value.body as BurnCounts)
  const written = page === undefined ? ok() : await writePage(page, formatPage(report))
  return written.map(() => ({ value: report, text: formatReport(report), remarks: report.missing }))
}

async function writePage (page: string, text: string): Promise<Result<void, Failure>> {
  try {
    await writeFile(page, text)
    return ok()
  } catch (error) {
    return err(createMisuse(`The page "${page}" cannot be written (${(error as NodeJS.ErrnoException).code}). Choose another file.`))
  }
}
