/**
 * Pictures of measurements.
 */
import type { TopLevelSpec } from 'vega-lite'
import { compile } from 'vega-lite'
import { View, parse } from 'vega'

/** A line or point for each series over one axis. */
export interface Chart {
  /** File name without ending. */
  readonly name: string
  readonly title: string
  readonly rows: ReadonlyArray<Readonly<Record<string, number | string>>>
  readonly x: Axis
  readonly y: Axis
  /** Field that tells the series apart. */
  readonly series: string
  readonly mark: 'line' | 'point'
}

/** One axis of a chart. */
export interface Axis {
  readonly field: string
  readonly title: string
  readonly scale: 'linear' | 'log' | 'nominal'
}

const WIDTH = 640
const HEIGHT = 320
const ROW_HEIGHT = 24

/**
 * Draws a chart.
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
    width: WIDTH,
    height: y.scale === 'nominal' ? { step: ROW_HEIGHT } : HEIGHT,
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
