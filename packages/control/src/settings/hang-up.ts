/**
 * The signal which says that the settings file has changed. It ends a process that does not listen for it, so programs import this module
 * before all others.
 */

/** Before it is set, nothing has to be done: the settings file is read later. */
let onHangUp = (): void => {}
process.on('SIGHUP', () => { onHangUp() })

/** Sets what is done at the signal. */
export function listenForHangUp (listener: () => void): void {
  onHangUp = listener
}
