/**
 * The records of a journal's stream.
 */
import { array, Codec, exactly, number, oneOf, optional, string, unknown, type GetType } from 'purify-ts/Codec'
import { EpochCodec } from '@fireflymount/protocol/message'
import { Entry } from './journal.js'

const HolderCodec = Codec.interface({ epoch: EpochCodec, standbys: array(string), offset: number })

/** A past epoch and its last sequence number in effect. */
const TermCodec = Codec.interface({ epoch: EpochCodec, sequence: number })

/** What a reader knows besides its fold. */
export const HeadCodec = Codec.interface({
  holder: optional(HolderCodec),
  /** Last sequence number in effect of the holder's epoch. */
  sequence: number,
  /** Former epochs, oldest first. */
  past: array(TermCodec)
})

/** Takes the stream over. */
export const ClaimCodec = Codec.interface({ entry: exactly(Entry.Claim), epoch: EpochCodec, standbys: array(string) })

/** A batch of changes. A repeat after a lost answer has the same sequence number. */
export const CommitCodec = Codec.interface({
  entry: exactly(Entry.Commit),
  epoch: EpochCodec,
  sequence: number,
  changes: array(unknown)
})

/** One part of a snapshot. */
export const PartCodec = Codec.interface({
  entry: exactly(Entry.Snapshot),
  /** The same for all parts of one snapshot. */
  snapshot: string,
  part: number,
  parts: number,
  /** Offset of the last record that the state includes. */
  asOf: number,
  head: HeadCodec,
  value: unknown
})

/** Any record of a journal. */
export const EnvelopeCodec = oneOf([CommitCodec, ClaimCodec, PartCodec])

export type Head = GetType<typeof HeadCodec>
export type Claim = GetType<typeof ClaimCodec>
export type Commit = GetType<typeof CommitCodec>
export type Part = GetType<typeof PartCodec>
export type Envelope = Claim | Commit | Part
