/**
 * The records of past use in the journal. Each holds the workspaces with one hash value, so that a change rewrites a part of them.
 */
import { err, ok, type Result } from 'neverthrow'
import type { Use } from '../place/past-use.js'
import type { KeyedRecord } from '../ports/store.js'
import { Subject, decodeValue, encodeRecord, keyOf } from './record.js'

const BLOCK_COUNT = 16

/** Recorded use of the workspaces of one block. */
export interface PastUseBlock {
  /** Unix time at which it was recorded. */
  readonly atMs: number
  readonly uses: ReadonlyMap<string, Use>
}

type Row = readonly [workspace: string, cpu: number, memory: number, accelerators: number]

/** Returns the block of a workspace. */
export function pastUseBlockOf (workspace: string): number {
  let hash = 0
  for (let index = 0; index < workspace.length; index++) hash = (hash * 31 + workspace.charCodeAt(index)) >>> 0
  return hash % BLOCK_COUNT
}

/** Returns the key of the record of a block. */
export function pastUseKeyOf (block: number): string {
  return keyOf(Subject.PastUse, String(block))
}

/** Encodes a block. Without any use, the record is a deletion. */
export function encodePastUse (block: number, { atMs, uses }: PastUseBlock): KeyedRecord {
  if (uses.size === 0) return { key: pastUseKeyOf(block), value: undefined }
  const rows: Row[] = [...uses].map(([workspace, [cpu, memory, accelerators]]) => {
    return [workspace, Math.fround(cpu), Math.fround(memory), Math.fround(accelerators)]
  })
  return encodeRecord(Subject.PastUse, String(block), [atMs, rows])
}

/** Decodes a block, or returns a sentence that explains why it cannot be decoded. */
export function decodePastUse (value: Buffer): Result<PastUseBlock, string> {
  return decodeValue<unknown>(value).andThen((decoded): Result<PastUseBlock, string> => {
    if (!Array.isArray(decoded) || !isAmount(decoded[0]) || !Array.isArray(decoded[1])) return err('The value is not a record of past use.')
    const uses = new Map<string, Use>()
    for (const row of decoded[1] as unknown[]) {
      if (!isRow(row)) return err('A row of past use has a field of another type.')
      const [workspace, ...use] = row
      uses.set(workspace, use)
    }
    return ok({ atMs: decoded[0], uses })
  })
}

function isRow (row: unknown): row is Row {
  return Array.isArray(row) && row.length === 4 && typeof row[0] === 'string' && row.slice(1).every(isAmount)
}

function isAmount (value: unknown): value is number {
  return Number.isFinite(value) && (value as number) >= 0
}
