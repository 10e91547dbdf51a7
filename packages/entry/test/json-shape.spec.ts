import { describe, expect, it } from 'vitest'
import { JsonShape } from '../src/json-shape.js'

describe('the shape of a JSON text', () => {
  it.each([
    ['an empty text', '', 0, 0],
    ['an ordinary job', '{"spec":"x","steps":[{"count":1,"cpu":500}]}', 2, 3],
    ['empty objects', '[{},{},{}]', 3, 3],
    ['numbers', '[1,2,3,4]', 0, 4],
    ['marks in strings', '{"spec":"{[,]}\\",{","steps":[]}', 1, 2],
    ['an escaped backslash at the end of a string', '{"spec":"\\\\","steps":[{}]}', 2, 2]
  ])('counts the objects and values of %s, however it is parted', (_, text, objects, values) => {
    for (const partBytes of [1, 3, 100]) {
      const shape = new JsonShape()
      const bytes = Buffer.from(text)
      for (let start = 0; start < bytes.length; start += partBytes) shape.add(bytes.subarray(start, start + partBytes))
      expect([shape.objects, shape.values]).toEqual([objects, values])
    }
  })
})
