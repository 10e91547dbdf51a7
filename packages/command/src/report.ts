/**
 * Formats the report on burn rates as a table and as an HTML page.
 */
import { FAST_BURN, SLOW_BURN, WINDOWS_MS, type BurnReport, type Rate, type ReportLine } from './burn.js'
import { drawPlot, escapeText } from './plot.js'
import { formatTable, type Row } from './terminal.js'

const MINUTE_MS = 60_000
const LONGEST_WINDOW_MS = WINDOWS_MS[2]
const STYLE = `body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:60rem;padding:0 1rem;color:#1c2733}
table{border-collapse:collapse;width:100%}th,td{border-bottom:1px solid #d5dce3;padding:.3rem .6rem;text-align:left}
td.number{text-align:right;font-variant-numeric:tabular-nums}.fast{background:#fbd9d3}.slow{background:#fdeec9}
svg{max-width:100%;height:auto}polyline{fill:none;stroke:#1f6f8b;stroke-width:1.5}circle{fill:#1f6f8b}
.mark{stroke:#b4483a;stroke-dasharray:4 3}text{font-size:11px;text-anchor:end;fill:#5b6976}.missing{border-left:4px solid #b4483a;padding-left:1rem}`

/**
 * Formats the report for a terminal.
 *
 * @param report the report
 * @returns a table; an asterisk marks a window that was not counted completely
 */
export function formatReport (report: BurnReport): string {
  const rows: Row[] = report.lines.map(({ objective, queue, team, target, rates, verdict }) => ({
    objective,
    queue,
    team,
    target,
    '5 min': formatRate(rates[0]!),
    '1 h': formatRate(rates[1]!),
    '6 h': formatRate(rates[2]!),
    verdict
  }))
  return formatTable(['objective', 'queue', 'team', 'target', '5 min', '1 h', '6 h', 'verdict'], rows)
}

/**
 * Formats the report as an HTML page without external resources.
 *
 * @param report the report
 * @returns the page
 */
export function formatPage (report: BurnReport): string {
  const time = new Date(report.atMs).toISOString()
  const rows = report.lines.map(formatRow).join('\n')
  const plots = report.lines.map((line) => formatFigure(line, report.atMs)).join('\n')
  return `<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>Burn rates of service-level objectives, ${time}</title><style>${STYLE}</style></head>
<body>
<h1>Burn rates of service-level objectives</h1>
<p>At ${time}. A burn rate of 1 spends exactly the error budget. Fast burn: 5 minutes and 1 hour at ${FAST_BURN} or more.
Slow burn: 1 hour and 6 hours at ${SLOW_BURN} or more. An asterisk marks a window that was not counted completely.</p>
${formatMissing(report.missing)}
<table>
<thead><tr><th>Objective</th><th>Queue</th><th>Team</th><th>Target</th><th>5 min</th><th>1 h</th><th>6 h</th><th>Verdict</th></tr></thead>
<tbody>
${rows}
</tbody>
</table>
${plots}
</body>
</html>
`
}

function formatRow ({ objective, queue, team, target, rates, verdict }: ReportLine): string {
  const names = [objective, queue, team, String(target)].map((text) => `<td>${escapeText(text)}</td>`).join('')
  const numbers = rates.map((rate) => `<td class="number" title="${rate.events.good} of ${rate.events.total} good">${formatRate(rate)}</td>`)
  return `<tr class="${verdict.split(' ')[0]}">${names}${numbers.join('')}<td>${verdict}</td></tr>`
}

function formatFigure ({ objective, queue, team, steps }: ReportLine, atMs: number): string {
  const label = `Burn rate of ${objective}, queue ${queue}, team ${team}, last ${LONGEST_WINDOW_MS / MINUTE_MS / 60} hours`
  if (steps.length === 0) return `<p>${escapeText(label)}: no events.</p>`
  const points = steps.map(({ startMs, rate }) => ({ x: startMs, y: rate }))
  const plot = drawPlot({ label, points, fromX: atMs - LONGEST_WINDOW_MS, toX: atMs, marks: [1, SLOW_BURN, FAST_BURN] })
  return `<figure><figcaption>${escapeText(label)}</figcaption>${plot}</figure>`
}

function formatMissing (missing: readonly string[]): string {
  if (missing.length === 0) return `<p>Nothing is missing: every shard answered, and its owner counted over the last ${LONGEST_WINDOW_MS / MINUTE_MS / 60} hours.</p>`
  const items = missing.map((sentence) => `<li>${escapeText(sentence)}</li>`).join('\n')
  return `<div class="missing"><h2>Missing</h2><ul>\n${items}\n</ul></div>`
}

function formatRate ({ rate, partial }: Rate): string {
  return rate === undefined ? 'none' : `${rate.toFixed(2)}${partial ? '*' : ''}`
}
