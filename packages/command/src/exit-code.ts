/**
 * Exit codes of the tool.
 */

/** The exit codes, by which scripts can tell failures apart. They are documented in docs/COMMAND.md. */
export enum ExitCode {
  Ok = 0,
  /** The server refused the call, or answered a read with an invalid configuration; nothing was executed or changed. */
  Refused = 1,
  /**
   * Incorrect use of the tool, an unreadable file, an invalid manifest, or a configuration object whose name the tool
   * finds missing or already taken.
   */
  Usage = 2,
  /** No server could be reached. */
  Unreachable = 3,
  /** Another operator changed the same objects first. */
  Conflict = 4,
  /** Whether the command took effect could not be determined. */
  Unknown = 5,
  /** The job or request ran, and failed or was cancelled. */
  Failed = 6
}
