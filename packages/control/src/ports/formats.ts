/**
 * Decoders of what others write to the store.
 */
import type { Result } from 'neverthrow'
import type { Configuration } from '../model/configuration.js'
import type { Worker } from '../model/worker.js'

/** Reads the records of the configuration and of workers. A mistake is a sentence. */
export abstract class Formats {
  /** Key of the configuration in its topic. */
  abstract readonly configurationKey: string
  abstract decodeConfiguration (value: Buffer): Result<Configuration, string>
  abstract decodeWorker (id: string, value: Buffer): Result<Worker, string>
}
