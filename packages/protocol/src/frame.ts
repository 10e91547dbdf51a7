/**
 * Encoding of frames as MessagePack. Every frame is validated when it is decoded.
 */
import { Packr } from 'msgpackr'
import { err, ok, type Result } from 'neverthrow'
import type { Codec } from 'purify-ts/Codec'
import { decodeWith } from './decode.js'
import { AnswerCodec, AskCodec, HelloCodec, LeaveCodec, REQUEST_CODECS, type Frame, type MessageKind, type Request } from './message.js'

/** Size of the largest frame that a daemon accepts. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024

type Decoder = Pick<Codec<unknown>, 'decode'>

/** msgpackr renames this key when it decodes a map into an object. */
const RENAMED_KEY = '__proto__'

const packr = new Packr({ useRecords: false })
/** Decodes maps into Map instances, which keep every key as it is. */
const mapPackr = new Packr({ useRecords: false, mapsAsObjects: false })

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
 * Decodes and validates a frame. The request in an 'ask' frame is validated by `decodeRequest` instead.
 *
 * @param bytes one message of the connection
 * @returns the frame, or a message that says why it is invalid
 *
 * @example
 * const frame = decodeFrame(data)
 * if (frame.isErr()) return close(frame.error)
 */
export function decodeFrame (bytes: Uint8Array): Result<Frame, string> {
  const value = unpack(bytes)
  if (value.isErr()) return err(value.error)
  const codec = findCodec(value.value)
  if (codec === undefined) return err('The frame has an unknown type.')
  return decodeWith(codec, value.value).map((frame) => frame as Frame)
}

/**
 * Validates a request.
 *
 * @param value the `request` field of an 'ask' frame
 * @returns the request, or a message that says why it is invalid
 *
 * @example
 * const request = decodeRequest(frame.request)
 */
export function decodeRequest (value: unknown): Result<Request, string> {
  const kind = (value as { kind?: MessageKind } | null)?.kind
  if (typeof kind !== 'string' || !Object.hasOwn(REQUEST_CODECS, kind)) return err('The request has an unknown kind.')
  const codec: Decoder = REQUEST_CODECS[kind]
  return decodeWith(codec, value).map((request) => request as Request)
}

function unpack (bytes: Uint8Array): Result<unknown, string> {
  try {
    const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
    return ok(buffer.includes(RENAMED_KEY) ? toObjects(mapPackr.unpack(bytes)) : packr.unpack(bytes))
  } catch (error) {
    return err(`The frame is not valid MessagePack: ${String(error)}`)
  }
}

/** Converts maps, also nested ones, to objects with the same keys as own properties. */
function toObjects (value: unknown): unknown {
  if (Array.isArray(value)) return value.map(toObjects)
  if (!(value instanceof Map)) return value
  const object = {}
  for (const [key, item] of value) {
    Object.defineProperty(object, String(key), { value: toObjects(item), enumerable: true, writable: true, configurable: true })
  }
  return object
}

function findCodec (value: unknown): Decoder | undefined {
  switch ((value as { frame?: string } | null)?.frame) {
    case 'hello': return HelloCodec
    case 'ask': return AskCodec
    case 'answer': return AnswerCodec
    case 'leave': return LeaveCodec
  }
}
