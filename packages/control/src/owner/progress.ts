/**
 * The progress of one run, from the reports of its worker. Durations are taken from the worker's clock in these reports, so that a
 * report that the owner receives or handles late does not show a standstill.
 */

/** Progress of one run. */
export class Progress {
  /** As in ActiveRun.progress; undefined until a report lists the run. */
  percent: number | undefined
  private firstPercent = 0
  private firstClockMs = 0
  private changedClockMs = 0
  private newestClockMs = 0

  /**
   * Records what a report says of the run.
   *
   * @param percent the reported progress
   * @param clockMs the worker's clock in the report, which is newer than the recorded ones
   */
  record (percent: number, clockMs: number): void {
    this.newestClockMs = clockMs
    if (this.percent === undefined) {
      this.firstPercent = percent
      this.firstClockMs = clockMs
    }
    if (this.percent === percent) return
    this.percent = percent
    this.changedClockMs = clockMs
  }

  /** Time from the first report with the current progress to the newest report. */
  standstillMs (): number {
    return this.newestClockMs - this.changedClockMs
  }

  /** Time that the whole work takes at the speed between the reports until the last change; undefined if there is none. */
  projectedMs (): number | undefined {
    if (this.percent === undefined || this.percent <= this.firstPercent) return undefined
    return 100 * (this.changedClockMs - this.firstClockMs) / (this.percent - this.firstPercent)
  }
}
