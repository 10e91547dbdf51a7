/**
 * Workloads and their urgency, shared by the manifest, the scheduling policies and the protocol between daemons.
 */

/** How the work of a queue or a task is scheduled. */
export enum Workload {
  /** A synchronous request with an answer. */
  Request = 'request',
  /** A long-running service replica. */
  Service = 'service',
  /** A durable job of one task. */
  Batch = 'batch',
  /** A durable job whose tasks start all at once or not at all (gang scheduling). */
  Gang = 'gang'
}

/** Urgent work starts before normal work of the same team. */
export enum Urgency {
  Urgent = 'urgent',
  Normal = 'normal'
}
