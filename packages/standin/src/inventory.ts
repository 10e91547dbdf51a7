/**
 * The VMs of the stand-in's list. A change becomes visible after a lag.
 */
import type { Vm } from '@fireflymount/service-clients/vm-list'

/** A change that is not visible yet. */
interface Change {
  readonly visibleAtMs: number
  readonly id: string
  /** The changed VM. Absent if the VM was removed. */
  readonly vm?: Vm
}

/** The actual VMs, and the VMs as the list shows them. */
export class Inventory {
  private readonly actualVms = new Map<string, Vm>()
  private readonly visibleVms = new Map<string, Vm>()
  private changes: Change[] = []

  /** @param lagMs delay after which a change becomes visible */
  constructor (public lagMs: number) {}

  /** Adds or replaces a VM. */
  put (vm: Vm): void {
    this.actualVms.set(vm.id, vm)
    this.changes.push({ visibleAtMs: performance.now() + this.lagMs, id: vm.id, vm })
  }

  /**
   * Changes fields of a VM.
   *
   * @returns false if there is no such VM
   */
  patch (id: string, fields: Partial<Vm>): boolean {
    const vm = this.actualVms.get(id)
    if (vm === undefined) return false
    this.put({ ...vm, ...fields, id })
    return true
  }

  /** Removes a VM. */
  remove (id: string): void {
    this.actualVms.delete(id)
    this.changes.push({ visibleAtMs: performance.now() + this.lagMs, id })
  }

  /** Returns the actual VMs. */
  actual (): Vm[] {
    return [...this.actualVms.values()]
  }

  /** Returns the VMs as the list shows them now. */
  visible (): Vm[] {
    this.applyDueChanges()
    return [...this.visibleVms.values()]
  }

  private applyDueChanges (): void {
    const now = performance.now()
    const pending: Change[] = []
    for (const change of this.changes) {
      if (change.visibleAtMs > now) {
        pending.push(change)
        continue
      }
      if (change.vm === undefined) this.visibleVms.delete(change.id)
      else this.visibleVms.set(change.id, change.vm)
    }
    this.changes = pending
  }
}
