/**
 * The store that keeps all that lasts: keyed topics with fenced appends.
 */
import type { Result } from 'neverthrow'

/** The topics of the cell. Each has one partition. */
export enum Topic {
  /** Jobs, their progress, nodes and ownership; written by the cell. */
  Journal = 'journal',
  /** What operators write. */
  Configuration = 'configuration',
  /** What workers write of themselves. */
  Workers = 'workers',
  /** What the cell tells operators. */
  Status = 'status'
}

/** A record of a keyed topic. Without a value its key is dropped. */
export interface KeyedRecord {
  readonly key: string
  readonly value: Buffer | undefined
}

/** A record with its position. */
export interface StoredRecord extends KeyedRecord {
  readonly offset: number
}

/** Lets an append take effect only while no higher epoch has written, once for each sequence number. */
export interface Fence {
  readonly epoch: number
  readonly sequence: number
}

/** Records from an offset on. */
export interface RecordPage {
  readonly records: readonly StoredRecord[]
  /** Offset of the next record that will be appended. */
  readonly end: number
}

/** The newest record of each key. */
export interface NewestPage extends RecordPage {
  /** Key to continue with, or undefined on the last page. */
  readonly next: string | undefined
}

/** Why a call to the store failed. */
export enum StoreFailure {
  /** Nothing was done. */
  Refused = 'refused',
  /** No answer came: an append may take effect, or have taken effect. */
  NoAnswer = 'no-answer',
  /** A higher epoch has written. */
  Fenced = 'fenced',
  /** The sequence number does not follow the last one. */
  OutOfSequence = 'out-of-sequence',
  /** Records from that offset on are no longer all there. */
  Expired = 'expired',
  /** The call is wrong; repeating it does not help. */
  Invalid = 'invalid'
}

/** Access to the store, however it is reached. Calls fail as values. */
export abstract class Store {
  /**
   * Appends records, all or none.
   *
   * @param fence guards the append; an append without one is not fenced
   * @returns the offset of the first record
   */
  abstract append (topic: Topic, records: readonly KeyedRecord[], fence?: Fence): Promise<Result<number, StoreFailure>>
  /**
   * Reads records in order.
   *
   * @param from offset of the first record
   * @param waitMs how long the answer may wait for a record
   */
  abstract read (topic: Topic, from: number, waitMs: number): Promise<Result<RecordPage, StoreFailure>>
  /**
   * Reads the newest record of each key.
   *
   * @param after key to continue after; undefined for the first page
   */
  abstract newest (topic: Topic, after: string | undefined): Promise<Result<NewestPage, StoreFailure>>
}

/** One call to the store, as data, so that another node can make it. */
export type StoreCall =
  | { readonly topic: Topic, readonly append: { readonly records: readonly KeyedRecord[], readonly fence?: Fence } }
  | { readonly topic: Topic, readonly read: { readonly from: number, readonly waitMs: number } }
  | { readonly topic: Topic, readonly newest: { readonly after?: string } }

/** What a call returned: the offset of an append, or a page. */
export type StoreAnswer = number | RecordPage | NewestPage

/** Makes single calls to the store, without repeating them. */
export abstract class StorePort {
  /**
   * Makes a call.
   *
   * @param call the call
   * @param timeoutMs longest time for the answer, beside what the call itself lets it wait
   */
  abstract call (call: StoreCall, timeoutMs: number): Promise<Result<StoreAnswer, StoreFailure>>
}
