#!/usr/bin/env node
// npm links executables during installation, before the build has produced dist/main.js, so the link needs a file of its own.
import '../dist/main.js'
