/**
 * The availability zones that operators have asked to evacuate. Each node reads the requests with the configuration, so that every
 * owner knows them from its start on.
 */
import { NEVER, type Clock, type Stamp } from '../clock.js'
import type { Formats } from '../ports/formats.js'
import type { StoredRecord } from '../ports/store.js'

/** Part of the time limit that covers the uncertainty of a worker's clock and the way of a start to its worker. */
const LIMIT_MARGIN_SHARE = 0.1
/** Shorter time limits are not kept: a read of the requests and a start would not fit into them. */
const MIN_LIMIT_MS = 1000
/** A start that could only be valid for less than this is not sent. */
const MIN_START_VALIDITY_MS = 300

/** Why a task is held back by an evacuation. */
export const ZONE_EVACUATED = 'its zone is being evacuated'

/** Receives changes of the evacuated zones. */
export interface EvacuationListener {
  /** @param mistake why the value of the request cannot be decoded; undefined if it can */
  readonly onRequested: (zone: string, offset: number, mistake: string | undefined) => void
  readonly onTakenBack: (zone: string) => void
  /** Called once for a request that names no zone, and is ignored. */
  readonly onInvalid: (key: string) => void
}

/** Dependencies of the evacuations. */
export interface EvacuationsOptions {
  readonly formats: Formats
  readonly clock: Clock
  /** The last time at which all requests were known to have been read. */
  readonly readAt: () => Stamp
  /** Time after a request from which no task may start in its zone; undefined for no limit. */
  readonly limitMs: () => number | undefined
  readonly listener: EvacuationListener
}

/** What the owner needs to know of evacuations before it places or starts a task. */
export interface ZoneStatus {
  /** Zones to which nothing is sent. */
  readonly evacuated: () => Iterable<string>
  readonly isEvacuated: (zone: string) => boolean
  /**
   * Returns how long a start may be valid that is sent now, on what is known now of the evacuations; 0 if no start may be sent,
   * since the requests were read too long ago.
   */
  readonly maxStartValidityMs: () => number
}

/** Builds the set of evacuated zones from the records of the configuration topic. */
export class Evacuations implements ZoneStatus {
  private readonly zones = new Set<string>()
  private readonly invalidKeys = new Set<string>()
  /** Zones read since the start of a reload; undefined while there is none. */
  private zonesSinceReload: Set<string> | undefined

  constructor (private readonly options: EvacuationsOptions) {}

  evacuated (): Iterable<string> {
    return this.zones
  }

  isEvacuated (zone: string): boolean {
    return this.zones.has(zone)
  }

  maxStartValidityMs (): number {
    const readAt = this.options.readAt()
    if (readAt === NEVER) return 0
    const limitMs = this.options.limitMs()
    if (limitMs === undefined) return Infinity
    const validityMs = (1 - LIMIT_MARGIN_SHARE) * Math.max(limitMs, MIN_LIMIT_MS) - this.options.clock.ageOf(readAt)
    return validityMs < MIN_START_VALIDITY_MS ? 0 : Math.floor(validityMs)
  }

  /**
   * Applies a record. A request whose value cannot be decoded is honored: its key names the zone, and it is safer to leave workers
   * idle than to place tasks on workers that are about to be taken away.
   *
   * @returns true if the record is about an evacuation
   */
  apply ({ key, value, offset }: StoredRecord): boolean {
    const { formats, listener } = this.options
    const zone = formats.evacuatedZoneOf(key)
    if (zone === undefined) return false
    if (value === undefined) {
      this.zonesSinceReload?.delete(zone)
      this.takeBack(zone)
      return true
    }
    if (zone === '') {
      if (!this.invalidKeys.has(key)) listener.onInvalid(key)
      this.invalidKeys.add(key)
      return true
    }
    this.zonesSinceReload?.add(zone)
    if (this.zones.has(zone)) return true
    this.zones.add(zone)
    listener.onRequested(zone, offset, formats.checkEvacuation(value).match(() => undefined, (mistake) => mistake))
    return true
  }

  /** Starts a reload: all requests are about to be read again. Those that are known stay in effect meanwhile. */
  startReload (): void {
    this.zonesSinceReload = new Set()
  }

  /** Finishes a reload: takes back the zones whose requests were not read again. */
  finishReload (): void {
    const { zonesSinceReload } = this
    this.zonesSinceReload = undefined
    if (zonesSinceReload === undefined) return
    for (const zone of [...this.zones]) {
      if (!zonesSinceReload.has(zone)) this.takeBack(zone)
    }
  }

  private takeBack (zone: string): void {
    if (this.zones.delete(zone)) this.options.listener.onTakenBack(zone)
  }
}
