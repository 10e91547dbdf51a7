/**
 * The objects of a configuration with the revision of each, and an index of the references between them.
 */
import { Section, type Key, type Manifest } from './manifest.js'
import { toObjectId, listReferences } from './reference.js'

/** An object and the revision at which it last changed. */
export interface CatalogItem {
  readonly value: { readonly name: string }
  readonly revision: number
}

/** Objects by section and name, with the indexes that the validation of a delta needs. */
export class Catalog {
  private readonly sections = new Map<Section, Map<string, CatalogItem>>()
  /** Ids of the objects that refer to an object, by its id. */
  private readonly referrers = new Map<string, Set<string>>()
  /** Names of keys by hash. */
  private readonly keyNames = new Map<string, string>()
  /** The sections as lists; a list is dropped when its section changes. */
  private readonly lists = new Map<Section, readonly unknown[]>()

  constructor () {
    for (const section of Object.values(Section)) this.sections.set(section, new Map())
  }

  /**
   * Returns an object.
   *
   * @param section its section
   * @param name its name
   * @returns the object, or undefined
   */
  get (section: Section, name: string): CatalogItem | undefined {
    return this.sections.get(section)?.get(name)
  }

  /**
   * Adds an object, or replaces the object of the same name.
   *
   * @param section its section
   * @param item the object
   */
  put (section: Section, item: CatalogItem): void {
    const { name } = item.value
    this.removeFromIndexes(section, name)
    this.sections.get(section)?.set(name, item)
    const id = toObjectId(section, name)
    for (const reference of listReferences(section, item.value)) {
      const target = toObjectId(reference.section, reference.name)
      const ids = this.referrers.get(target)
      if (ids === undefined) this.referrers.set(target, new Set([id]))
      else ids.add(id)
    }
    if (section === Section.Keys) this.keyNames.set((item.value as Key).hash, name)
    this.lists.delete(section)
  }

  /**
   * Removes an object.
   *
   * @param section its section
   * @param name its name
   */
  remove (section: Section, name: string): void {
    this.removeFromIndexes(section, name)
    this.sections.get(section)?.delete(name)
    this.lists.delete(section)
  }

  /** Removes an object from the indexes of references and hashes. */
  private removeFromIndexes (section: Section, name: string): void {
    const old = this.get(section, name)
    if (old === undefined) return
    const id = toObjectId(section, name)
    for (const reference of listReferences(section, old.value)) {
      const target = toObjectId(reference.section, reference.name)
      const ids = this.referrers.get(target)
      ids?.delete(id)
      if (ids?.size === 0) this.referrers.delete(target)
    }
    if (section !== Section.Keys) return
    const { hash } = old.value as Key
    if (this.keyNames.get(hash) === name) this.keyNames.delete(hash)
  }

  /**
   * Lists the objects that refer to an object.
   *
   * @param section the object's section
   * @param name the object's name
   * @returns ids of the referring objects
   */
  referrersOf (section: Section, name: string): Iterable<string> {
    return this.referrers.get(toObjectId(section, name)) ?? []
  }

  /**
   * Finds the key that has a hash.
   *
   * @param hash the hash of the secret
   * @returns the key's name, or undefined
   */
  findKeyByHash (hash: string): string | undefined {
    return this.keyNames.get(hash)
  }

  /**
   * Iterates over one section.
   *
   * @param section the section
   * @returns its objects, in the order in which they were created
   */
  items (section: Section): Iterable<CatalogItem> {
    return this.sections.get(section)?.values() ?? []
  }

  /**
   * Returns all objects as a manifest. A section that has not changed since the last call is the same list as then.
   *
   * @returns the manifest
   */
  manifest (): Manifest {
    const manifest: Record<string, readonly unknown[]> = {}
    for (const section of Object.values(Section)) {
      const list = this.lists.get(section) ?? Array.from(this.items(section), (item) => item.value)
      this.lists.set(section, list)
      manifest[section] = list
    }
    return manifest as unknown as Manifest
  }
}
