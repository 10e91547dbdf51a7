/**
 * Finds out whether this node gets much less processor than its settings say. The load that it answers is an owner on a machine that
 * is slowed for some seconds: it keeps its connections, so no other node claims the cell, and all callers wait for it.
 */
import type { LoopSample } from '../report/event-loop.js'

/** Samples count if the event loop was at least this late: the process had more to do than it got processor for. */
const MIN_DELAY_MS = 100
/** Samples count for this time. */
const WINDOW_MS = 2000
/** The counting samples together must be at least this long, so that a short pause is no reason. */
const MIN_SPAN_MS = 600
/** So many of them must each show it: a process that is suspended once while it is busy has one such sample. */
const MIN_SLOW_SAMPLES = 2
/** A process that used less than this part of its processor during a sample was suspended, not slow. */
const SUSPENDED_RATIO = 0.05
/** Time for which a node counts as slow after the last sample that showed it, so that it does not take the cell back at once. */
const SLOW_MS = 5000
/** One event loop uses one core at most, and some more in other threads. */
const MAX_CORES = 1

/** Options of `ProcessorWatch`. */
export interface ProcessorWatchOptions {
  /** Seconds of processor time that the process may use in a second; undefined if it is unknown, so that the node never counts as slow. */
  readonly processorShare: number | undefined
  /** The node is slow below this part of that; undefined if it never counts as slow. */
  readonly minRatio: number | undefined
  /** Called when the node becomes slow, with the number of cores that it got. */
  readonly onSlow: (receivedShare: number) => void
}

/** Watches the processor of this node. */
export class ProcessorWatch {
  private samples: LoopSample[] = []
  private slowAtMs = -Infinity
  private receivedShare = 0

  constructor (private readonly options: ProcessorWatchOptions) {}

  /** Adds a sample; call it for each, in order. */
  add (sample: LoopSample): void {
    const { processorShare, minRatio, onSlow } = this.options
    if (processorShare === undefined || minRatio === undefined || sample.delayMs < MIN_DELAY_MS) return
    const cores = Math.min(processorShare, MAX_CORES)
    if (sample.processorMs < SUSPENDED_RATIO * cores * sample.spanMs) return
    this.samples = [...this.samples.filter(({ atMs }) => sample.atMs - atMs < WINDOW_MS), sample]
    const spanMs = this.samples.reduce((sum, each) => sum + each.spanMs, 0)
    const slowSamples = this.samples.filter((each) => each.processorMs < minRatio * cores * each.spanMs)
    if (slowSamples.length < MIN_SLOW_SAMPLES || spanMs < MIN_SPAN_MS) return
    const receivedShare = this.samples.reduce((sum, { processorMs }) => sum + processorMs, 0) / spanMs
    if (receivedShare >= minRatio * cores) return
    const isNews = !this.isSlow(sample.atMs)
    this.receivedShare = receivedShare
    this.slowAtMs = sample.atMs
    if (isNews) onSlow(receivedShare)
  }

  /** True if the node has lately got much less processor than its settings say. */
  isSlow (nowMs: number): boolean {
    return nowMs - this.slowAtMs < SLOW_MS
  }

  /** Number of cores that the node gets now if that is known to be too little, or undefined. */
  receivedShareAt (nowMs: number): number | undefined {
    return nowMs - this.slowAtMs < WINDOW_MS ? this.receivedShare : undefined
  }
}
