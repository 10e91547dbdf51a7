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
}
