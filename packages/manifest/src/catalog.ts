/**
 * The objects of a configuration with the revision of each, and who refers to whom.
 */
import { Section, type Key, type Manifest } from './manifest.js'
import { identify, listReferences } from './reference.js'

/** An object and the revision at which it last changed. */
export interface Item {
  readonly value: { readonly name: string }
  readonly revision: number
}

/** Objects by section and name, with indexes for the checks of a delta. */
export class Catalog {
  private readonly sections = new Map<Section, Map<string, Item>>()
  private readonly referrers = new Map<string, Set<string>>()
  private readonly hashes = new Map<string, string>()
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
  get (section: Section, name: string): Item | undefined {
    return this.sections.get(section)?.get(name)
  }

  /**
   * Puts an object in place of the one of the same name.
   *
   * @param section its section
   * @param item the object
   */
  put (section: Section, item: Item): void {
    const { name } = item.value
    this.unlink(section, name)
    this.sections.get(section)?.set(name, item)
    const id = identify(section, name)
    for (const reference of listReferences(section, item.value)) {
      const target = identify(reference.section, reference.name)
      const users = this.referrers.get(target)
      if (users === undefined) this.referrers.set(target, new Set([id]))
      else users.add(id)
    }
    if (section === Section.Keys) this.hashes.set((item.value as Key).hash, name)
    this.lists.delete(section)
  }

  /**
   * Removes an object.
   *
   * @param section its section
   * @param name its name
   */
  remove (section: Section, name: string): void {
    this.unlink(section, name)
    this.sections.get(section)?.delete(name)
    this.lists.delete(section)
  }

  private unlink (section: Section, name: string): void {
    const old = this.get(section, name)
    if (old === undefined) return
    const id = identify(section, name)
    for (const reference of listReferences(section, old.value)) {
      const target = identify(reference.section, reference.name)
      const users = this.referrers.get(target)
      users?.delete(id)
      if (users?.size === 0) this.referrers.delete(target)
    }
    if (section !== Section.Keys) return
    const { hash } = old.value as Key
    if (this.hashes.get(hash) === name) this.hashes.delete(hash)
  }

  /**
   * Lists who refers to an object.
   *
   * @param section the object's section
   * @param name the object's name
   * @returns identifiers of the referring objects
   */
  referrersOf (section: Section, name: string): Iterable<string> {
    return this.referrers.get(identify(section, name)) ?? []
  }

  /**
   * Finds the key with a hash.
   *
   * @param hash the hash
   * @returns the key's name, or undefined
   */
  keyOf (hash: string): string | undefined {
    return this.hashes.get(hash)
  }

  /**
   * Iterates over one section.
   *
   * @param section the section
   * @returns its objects in the order of their creation
   */
  items (section: Section): Iterable<Item> {
    return this.sections.get(section)?.values() ?? []
  }

  /**
   * Returns all objects as a manifest. Sections that did not change since the last call are the same lists.
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
