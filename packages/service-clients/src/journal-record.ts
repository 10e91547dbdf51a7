/**
 * Codecs and types of the records in a journal's stream.
 */
import { array, Codec, exactly, number, oneOf, optional, string, unknown, type GetType } from 'purify-ts/Codec'
import { EpochCodec } from '@fireflymount/protocol/message'
import { RecordKind } from './journal.js'

const HolderCodec = Codec.interface({ epoch: EpochCodec, standbys: array(string), offset: number })

/** A past epoch and the sequence number of its last commit in effect. */
const PastEpochCodec = Codec.interface({ epoch: EpochCodec, sequence: number })

/**
 * The state that decides which commits take effect. Each reader derives it from the records, in addition to the state
 * that the changes build up.
 */
export const FencingStateCodec = Codec.interface({
  holder: optional(HolderCodec),
  /** Sequence number of the last commit in effect of the holder's epoch. */
  sequence: number,
  /** Past epochs, oldest first. */
  past: array(PastEpochCodec)
})

/** Makes its writer the holder of the stream, if the counter of its epoch is above that of the current holder's epoch. */
export const ClaimRecordCodec = Codec.interface({ entry: exactly(RecordKind.Claim), epoch: EpochCodec, standbys: array(string) })

/** A batch of changes. A retry after a lost response has the same sequence number. */
export const CommitRecordCodec = Codec.interface({
  entry: exactly(RecordKind.Commit),
  epoch: EpochCodec,
  sequence: number,
  changes: array(unknown)
})

/** One part of a snapshot. */
export const SnapshotPartRecordCodec = Codec.interface({
  entry: exactly(RecordKind.Snapshot),
  /** Id of the snapshot, the same in all of its parts. */
  snapshot: string,
  /** Index of the part, from 0. */
  part: number,
  /** Number of parts; 0 for an empty state, which is written as one record. */
  parts: number,
  /** Offset of the last record that the state includes. */
  asOf: number,
  /** The fencing state as of that offset. */
  head: FencingStateCodec,
  value: unknown
})

/** Any record of a journal. */
export const JournalRecordCodec = oneOf([CommitRecordCodec, ClaimRecordCodec, SnapshotPartRecordCodec])

export type FencingState = GetType<typeof FencingStateCodec>
export type ClaimRecord = GetType<typeof ClaimRecordCodec>
export type CommitRecord = GetType<typeof CommitRecordCodec>
export type SnapshotPartRecord = GetType<typeof SnapshotPartRecordCodec>
export type JournalRecord = ClaimRecord | CommitRecord | SnapshotPartRecord
