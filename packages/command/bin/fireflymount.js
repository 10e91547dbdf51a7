#!/usr/bin/env node
// npm links a program at installation, before the build has made the file that it runs.
import '../dist/main.js'
