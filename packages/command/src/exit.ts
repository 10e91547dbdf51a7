/**
 * Exit codes of the tool.
 */

/** What a pipeline learns from the exit code. Documented in docs/COMMAND.md. */
export enum Exit {
  Ok = 0,
  /** The server refused; nothing was run or changed. */
  Refused = 1,
  /** Wrong use of the tool, an unreadable file or a manifest that is not valid. */
  Usage = 2,
  /** No server could be reached. */
  Unreachable = 3,
  /** Someone else changed the same objects first. */
  Conflict = 4,
  /** Whether it took effect could not be established. */
  Unknown = 5,
  /** The job or request ran, and failed or was cancelled. */
  Failed = 6
}
