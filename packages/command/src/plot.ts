/**
 * Line plots as inline SVG.
 */

/** A point of a plot. */
export interface Point {
  readonly x: number
  readonly y: number
}

/** The data of a plot. */
export interface Plot {
  readonly label: string
  readonly points: readonly Point[]
  readonly fromX: number
  readonly toX: number
  /** Horizontal lines, e.g. thresholds. */
  readonly marks: readonly number[]
}

const WIDTH_PX = 640
const HEIGHT_PX = 120
const MARGIN_PX = 34
/** Total space above and below the curve. */
const PADDING_PX = 10
/** Space above the curve. */
const TOP_PADDING_PX = 5
/** Distance of a label from the left end of its line, and of the label's baseline below the line. */
const LABEL_OFFSET_PX = 4

/**
 * Draws a line plot.
 *
 * @param plot the data
 * @returns one SVG element
 *
 * @example
 * drawPlot({ label: 'burn rate', points, fromX: 0, toX: 10, marks: [1] })
 */
export function drawPlot (plot: Plot): string {
  const maxY = Math.max(1, ...plot.marks, ...plot.points.map(({ y }) => y))
  const scale = (WIDTH_PX - MARGIN_PX) / Math.max(1, plot.toX - plot.fromX)
  const x = (value: number): number => round(MARGIN_PX + scale * (value - plot.fromX))
  const y = (value: number): number => round((HEIGHT_PX - PADDING_PX) * (1 - value / maxY) + TOP_PADDING_PX)
  const lines = plot.marks.map((mark) => {
    const line = `<line class="mark" x1="${MARGIN_PX}" x2="${WIDTH_PX}" y1="${y(mark)}" y2="${y(mark)}"/>`
    return `${line}<text x="${MARGIN_PX - LABEL_OFFSET_PX}" y="${y(mark) + LABEL_OFFSET_PX}">${mark}</text>`
  })
  const path = plot.points.map((point) => `${x(point.x)},${y(point.y)}`).join(' ')
  const circles = plot.points.map((point) => `<circle r="2" cx="${x(point.x)}" cy="${y(point.y)}"/>`)
  const startTag = `<svg role="img" aria-label="${escapeText(plot.label)}" viewBox="0 0 ${WIDTH_PX} ${HEIGHT_PX}" width="${WIDTH_PX}" height="${HEIGHT_PX}">`
  return `${startTag}${lines.join('')}<polyline points="${path}"/>${circles.join('')}</svg>`
}

/**
 * Escapes text for HTML and SVG.
 *
 * @param text any text
 * @returns the text with all characters escaped that have a meaning in markup
 */
export function escapeText (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;').replaceAll("'", '&#39;')
}

function round (value: number): number {
  return Math.round(value * 10) / 10
}
