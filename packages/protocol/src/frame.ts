/**
 * The bytes of a frame: MessagePack, checked when read.
 */
import { Packr } from 'msgpackr'
import { err, ok, type Result } from 'neverthrow'
import type { Codec } from 'purify-ts/Codec'
import { AnswerCodec, AskCodec, HelloCodec, LeaveCodec, REQUEST_CODECS, type Frame, type Kind, type Request } from './message.js'

/** Largest frame in bytes that a daemon reads. */
export const FRAME_LIMIT_BYTES = 4 * 1024 * 1024

type Decoder = Pick<Codec<unknown>, 'decode'>

/** A key that msgpackr renames when it reads objects. */
const RENAMED_KEY = '__proto__'

const packr = new Packr({ useRecords: false })
const mapReader = new Packr({ useRecords: false, mapsAsObjects: false })

/**
 * Encodes a frame.
 *
 * @param frame the frame
 * @returns its bytes
 *
 * @example
 * socket.send(encodeFrame({ frame: 'leave', drained: true }))
 */
export function encodeFrame (frame: Frame): Buffer {
  return packr.pack(frame)
}

/**
 * Decodes and checks a frame. The request inside a frame of kind 'ask' is checked by `decodeRequest`.
 *
 * @param bytes one message of the connection
 * @returns the frame, or a sentence that says what is wrong with it
 *
 * @example
 * const frame = decodeFrame(data)
 * if (frame.isErr()) return close(frame.error)
 */
export function decodeFrame (bytes: Uint8Array): Result<Frame, string> {
  const value = unpack(bytes)
  if (value.isErr()) return err(value.error)
  const codec = codecOf(value.value)
  if (codec === undefined) return err('The frame is of no known kind.')
  return codec.decode(value.value).caseOf<Result<Frame, string>>({ Left: err, Right: (frame) => ok(frame as Frame) })
}

/**
 * Checks a request.
 *
 * @param value the `request` of a frame of kind 'ask'
 * @returns the request, or a sentence that says what is wrong with it
 *
 * @example
 * const request = decodeRequest(frame.request)
 */
export function decodeRequest (value: unknown): Result<Request, string> {
  const kind = (value as { kind?: Kind } | null)?.kind
  if (typeof kind !== 'string' || !Object.hasOwn(REQUEST_CODECS, kind)) return err('The request is of no known kind.')
  const codec: Decoder = REQUEST_CODECS[kind]
  return codec.decode(value).caseOf<Result<Request, string>>({ Left: err, Right: (request) => ok(request as Request) })
}

function unpack (bytes: Uint8Array): Result<unknown, string> {
  try {
    const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
    return ok(buffer.includes(RENAMED_KEY) ? toObjects(mapReader.unpack(bytes)) : packr.unpack(bytes))
  } catch (error) {
    return err(`The frame is no MessagePack: ${String(error)}`)
  }
}

/** Turns maps into objects with the same keys as own properties. */
function toObjects (value: unknown): unknown {
  if (Array.isArray(value)) return value.map(toObjects)
  if (!(value instanceof Map)) return value
  const object = {}
  for (const [key, member] of value) {
    Object.defineProperty(object, String(key), { value: toObjects(member), enumerable: true, writable: true, configurable: true })
  }
  return object
}

function codecOf (value: unknown): Decoder | undefined {
  switch ((value as { frame?: string } | null)?.frame) {
    case 'hello': return HelloCodec
    case 'ask': return AskCodec
    case 'answer': return AnswerCodec
    case 'leave': return LeaveCodec
  }
}
