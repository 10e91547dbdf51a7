/**
 * The VMs of the stand-in's list, with the lag after which a change becomes visible.
 */
import type { Vm } from '@fireflymount/platform/machines'

/** A change that is not visible yet. */
interface Change {
  readonly visibleAt: number
  readonly id: string
  /** Absent: the VM is removed from the list. */
  readonly vm?: Vm
}

/** The true VMs and what the list shows of them. */
export class Inventory {
  private readonly truth = new Map<string, Vm>()
  private readonly shown = new Map<string, Vm>()
  private changes: Change[] = []

  /** @param lagMs time after which a change becomes visible */
  constructor (public lagMs: number) {}

  /** Adds or replaces a VM. */
  put (vm: Vm): void {
    this.truth.set(vm.id, vm)
    this.changes.push({ visibleAt: performance.now() + this.lagMs, id: vm.id, vm })
  }

  /** @returns false if there is no such VM */
  patch (id: string, fields: Partial<Vm>): boolean {
    const vm = this.truth.get(id)
    if (vm === undefined) return false
    this.put({ ...vm, ...fields, id })
    return true
  }

  /** Takes a VM off the list. */
  remove (id: string): void {
    this.truth.delete(id)
    this.changes.push({ visibleAt: performance.now() + this.lagMs, id })
  }

  /** The VMs as they are. */
  actual (): Vm[] {
    return [...this.truth.values()]
  }

  /** The VMs as the list shows them now. */
  visible (): Vm[] {
    this.showDue()
    return [...this.shown.values()]
  }

  private showDue (): void {
    const now = performance.now()
    const later: Change[] = []
    for (const change of this.changes) {
      if (change.visibleAt > now) {
        later.push(change)
        continue
      }
      if (change.vm === undefined) this.shown.delete(change.id)
      else this.shown.set(change.id, change.vm)
    }
    this.changes = later
  }
}
