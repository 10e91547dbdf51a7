/** Why a connection or a request was refused or closed. */
export enum Cutoff {
  /** A connection was refused because all others are in use. */
  Connections = 'connections',
  /** The system did not hand a connection over, for example for lack of memory. */
  AcceptFailed = 'accept-failed',
  /** An idle connection was closed to make room for another one. */
  Idle = 'idle',
  /** A connection whose client does not read was closed to make room. */
  Unread = 'unread',
  /** A connection whose request had been arriving for the longest time was closed to make room. */
  Receiving = 'receiving',
  /** The connection that held most by requests not handled yet was closed to make room. */
  Largest = 'largest',
  /** A request was refused because no room was left. */
  Memory = 'memory',
  HeadTooLarge = 'head-too-large',
  BodyTooLarge = 'body-too-large',
  SlowHead = 'slow-head',
  SlowBody = 'slow-body',
  /** A client read nothing of its answers for too long. */
  SlowReader = 'slow-reader',
  Malformed = 'malformed'
}
