/** Entry point. */
export {}
