/**
 * Renders measurement results as SVG charts.
 */
import type { TopLevelSpec } from 'vega-lite'
import { compile } from 'vega-lite'
import { View, parse } from 'vega'

/** A chart with one line, or one set of points, for each series. */
export interface Chart {
  /** File name without its extension. */
  readonly name: string
  readonly title: string
  readonly rows: ReadonlyArray<Readonly<Record<string, number | string>>>
  readonly x: Axis
  readonly y: Axis
  /** Field of the rows that names the series. */
  readonly series: string
  readonly mark: 'line' | 'point'
}

/** An axis of a chart, and the field of the rows that it shows. */
export interface Axis {
  readonly field: string
  readonly title: string
  readonly scale: 'linear' | 'log' | 'nominal'
}

const CHART_WIDTH_PX = 640
const CHART_HEIGHT_PX = 320
const ROW_HEIGHT_PX = 24

/**
 * Renders a chart.
 *
 * @param chart the chart
 * @returns an SVG document
 */
export async function renderChart (chart: Chart): Promise<string> {
  const view = new View(parse(compile(createSpec(chart)).spec), { renderer: 'none' })
  const svg = await view.toSVG()
  view.finalize()
  return svg
}

function createSpec ({ title, rows, x, y, series, mark }: Chart): TopLevelSpec {
  return {
    title,
    width: CHART_WIDTH_PX,
    height: y.scale === 'nominal' ? { step: ROW_HEIGHT_PX } : CHART_HEIGHT_PX,
    background: 'white',
    data: { values: rows.map(row => ({ ...row })) },
    mark: mark === 'line' ? { type: 'line', point: rows.length < 100 } : { type: 'point', filled: true, size: 60 },
    encoding: { x: createChannel(x), y: createChannel(y), color: { field: series, type: 'nominal', title: null } }
  }
}

function createChannel ({ field, title, scale }: Axis) {
  if (scale === 'nominal') return { field, title, type: 'nominal' as const, axis: { labelLimit: 320 } }
  return { field, title, type: 'quantitative' as const, scale: scale === 'log' ? { type: scale } : { zero: true } }
}
