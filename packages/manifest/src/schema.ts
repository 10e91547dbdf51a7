/**
 * JSON Schemas with which editors validate manifests and settings.
 */
import { ManifestCodec } from './codec.js'
import { SettingsCodec } from './settings-codec.js'

const SCHEMA_DIALECT = 'http://json-schema.org/draft-07/schema#'

/**
 * Creates the JSON Schema of manifests.
 *
 * @returns the content of the schema file
 */
export function createManifestSchema (): string {
  return formatSchema('fireflymount manifest', ManifestCodec.schema())
}

/**
 * Creates the JSON Schema of settings.
 *
 * @returns the content of the schema file
 */
export function createSettingsSchema (): string {
  return formatSchema('fireflymount settings', SettingsCodec.schema())
}

function formatSchema (title: string, schema: object): string {
  return `${JSON.stringify({ $schema: SCHEMA_DIALECT, title, ...schema }, null, 2)}\n`
}
