/**
 * JSON Schemas by which editors check manifests and settings.
 */
import { ManifestCodec } from './codec.js'
import { SettingsCodec } from './settings-codec.js'

const DIALECT = 'http://json-schema.org/draft-07/schema#'

/**
 * Writes the schema of manifests.
 *
 * @returns the content of the schema file
 */
export function createManifestSchema (): string {
  return formatSchema('fireflymount manifest', ManifestCodec.schema())
}

/**
 * Writes the schema of settings.
 *
 * @returns the content of the schema file
 */
export function createSettingsSchema (): string {
  return formatSchema('fireflymount settings', SettingsCodec.schema())
}

function formatSchema (title: string, schema: object): string {
  return `${JSON.stringify({ $schema: DIALECT, title, ...schema }, null, 2)}\n`
}
