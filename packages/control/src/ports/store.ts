/**
 * Port to the durable store: keyed topics with fenced appends.
 */
import type { Result } from 'neverthrow'

/** The cell's topics. Each has one partition. */
export enum Topic {
  /** Jobs, their progress, nodes and ownership; written by the nodes of the cell. */
  Journal = 'journal',
  /** The configuration; written by operators. */
  Configuration = 'configuration',
  /** Registry entries of workers; written by the workers. */
  Workers = 'workers',
  /** Status for operators. Not used by this scheduler. */
  Status = 'status'
}

/** A record of a keyed topic. A record without a value is a tombstone: it deletes its key. */
export interface KeyedRecord {
  readonly key: string
  readonly value: Buffer | undefined
}

/** A record with its offset in the topic. */
export interface StoredRecord extends KeyedRecord {
  readonly offset: number
}

/** Guards an append: the store refuses it if a higher epoch has written, and applies each sequence number once. */
export interface Fence {
  readonly epoch: number
  readonly sequence: number
}

/** Consecutive records, starting at an offset. */
export interface RecordPage {
  readonly records: readonly StoredRecord[]
  /** Offset that the next appended record will get. */
  readonly end: number
}

/** A page of the newest records, one for each key. */
export interface NewestPage extends RecordPage {
  /** Key after which the next page starts, or undefined on the last page. */
  readonly next: string | undefined
}

/** Why a call to the store failed. */
export enum StoreFailure {
  /** The store is overloaded or unavailable and did not execute the call; a retry may help. */
  Refused = 'refused',
  /** No answer was received: an append may have taken effect, or may still do so. */
  NoAnswer = 'no-answer',
  /** A higher epoch has written. */
  Fenced = 'fenced',
  /** The sequence number does not follow the last one. */
  OutOfSequence = 'out-of-sequence',
  /** Some of the requested records are no longer retained. */
  Expired = 'expired',
  /** The store answered with any other status, for example because the call is invalid. The call counts as rejected for good. */
  Invalid = 'invalid'
}

/** Access to the store through any path, directly or through another node. Failures are returned as values. */
export abstract class Store {
  /**
   * Appends records atomically.
   *
   * @param fence guard of the append; an append without it is not fenced
   * @returns the offset of the first record
   */
  abstract append (topic: Topic, records: readonly KeyedRecord[], fence?: Fence): Promise<Result<number, StoreFailure>>
  /**
   * Reads records in order.
   *
   * @param from offset of the first record
   * @param waitMs long-poll time: how long the store may delay its answer until there is a record
   */
  abstract read (topic: Topic, from: number, waitMs: number): Promise<Result<RecordPage, StoreFailure>>
  /**
   * Reads the newest record of each key.
   *
   * @param after key to continue after; undefined for the first page
   */
  abstract newest (topic: Topic, after: string | undefined): Promise<Result<NewestPage, StoreFailure>>
}

/** One call to the store as plain data, so that it can be relayed to another node. */
export type StoreCall =
  | { readonly topic: Topic, readonly append: { readonly records: readonly KeyedRecord[], readonly fence?: Fence } }
  | { readonly topic: Topic, readonly read: { readonly from: number, readonly waitMs: number } }
  | { readonly topic: Topic, readonly newest: { readonly after?: string } }

/** The answer to a call: the offset for an append, or a page of records. */
export type StoreAnswer = number | RecordPage | NewestPage

/** Makes single calls to the store without retries. */
export abstract class StoreClient {
  /**
   * Makes a call.
   *
   * @param call the call
   * @param timeoutMs longest time without any data of the answer; the call's long-poll time is added until the first data
   * @param onData called whenever data of the answer arrives. A client that does not report data may leave it out
   */
  abstract call (call: StoreCall, timeoutMs: number, onData?: () => void): Promise<Result<StoreAnswer, StoreFailure>>
}
