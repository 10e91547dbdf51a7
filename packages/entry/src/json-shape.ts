/**
 * What JSON texts consist of. The values of a text take many times its length if they are small, so that its length alone says little
 * about the memory that its handling takes.
 */

/** Estimated memory that the handling of an object and of another value takes beyond the copies of the text. */
const OBJECT_BYTES = 1024
const VALUE_BYTES = 64

const QUOTE = 0x22
const COMMA = 0x2c
const OPENING_BRACKET = 0x5b
const BACKSLASH = 0x5c
const OPENING_BRACE = 0x7b

/** Counts the values of a JSON text while it arrives. Text that is not JSON is counted as if it were. */
export class JsonShape {
  /** Number of objects. */
  objects = 0
  /** Number of other values, about. */
  values = 0
  private inString = false
  private escaped = false

  /** Estimated memory that the handling of the values takes, beyond the copies of the text. */
  get valueBytes (): number {
    return OBJECT_BYTES * this.objects + VALUE_BYTES * this.values
  }

  /** Counts a part of the text. */
  add (part: Buffer): void {
    for (const byte of part) {
      if (this.inString) this.readCharacter(byte)
      else if (byte === QUOTE) this.inString = true
      else if (byte === OPENING_BRACE) this.objects++
      else if (byte === COMMA || byte === OPENING_BRACKET) this.values++
    }
  }

  private readCharacter (byte: number): void {
    if (this.escaped) this.escaped = false
    else if (byte === BACKSLASH) this.escaped = true
    else if (byte === QUOTE) this.inString = false
  }
}
