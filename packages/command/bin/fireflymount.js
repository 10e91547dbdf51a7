#!/usr/bin/env node
// npm links this file during installation, when the build has not created dist/main.js yet.
import '../dist/main.js'
