/**
 * Fits straight lines to measured points.
 */

/** A line `y = intercept + slope * x`. */
export interface Line {
  readonly intercept: number
  readonly slope: number
  /** Root mean square of the vertical distances of the points from the line. */
  readonly residual: number
}

/** One measured point. */
export interface Point {
  readonly x: number
  readonly y: number
}

/**
 * Fits a line by least squares.
 *
 * @param points two or more points with different x
 * @returns the line
 *
 * @example
 * const { slope } = fitLine([{ x: 0, y: 1 }, { x: 2, y: 5 }])
 */
export function fitLine (points: readonly Point[]): Line {
  const meanX = mean(points.map(({ x }) => x))
  const meanY = mean(points.map(({ y }) => y))
  let covariance = 0
  let variance = 0
  for (const { x, y } of points) {
    covariance += (x - meanX) * (y - meanY)
    variance += (x - meanX) ** 2
  }
  const slope = covariance / variance
  const intercept = meanY - slope * meanX
  const residual = Math.sqrt(mean(points.map(({ x, y }) => (y - intercept - slope * x) ** 2)))
  return { intercept, slope, residual }
}

/**
 * Computes the arithmetic mean.
 *
 * @param values one or more numbers
 * @returns the mean
 */
export function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}
