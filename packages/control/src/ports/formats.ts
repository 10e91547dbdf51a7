/**
 * Port for decoding the records that operators and workers write to the store.
 */
import type { Result } from 'neverthrow'
import type { Configuration } from '../model/configuration.js'
import type { Worker } from '../model/worker.js'

/** Decodes configuration and worker records. Errors are sentences that describe the problem. */
export abstract class Formats {
  /** Key of the configuration record in its topic. */
  abstract readonly configurationKey: string
  abstract decodeConfiguration (value: Buffer): Result<Configuration, string>
  abstract decodeWorker (id: string, value: Buffer): Result<Worker, string>
  /** Returns the availability zone that a record of the configuration's topic is a request to evacuate; undefined for any other record. */
  abstract evacuatedZoneOf (key: string): string | undefined
  /** Checks the value of a request to evacuate a zone. */
  abstract checkEvacuation (value: Buffer): Result<unknown, string>
}
