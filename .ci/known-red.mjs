/** Exits with 1 if a test fails that KNOWN-RED.txt does not list. Argument: path of the JSON report of vitest. */
import { existsSync, readFileSync } from 'node:fs'

const report = JSON.parse(readFileSync(process.argv[2], 'utf8'))
const lines = existsSync('KNOWN-RED.txt') ? readFileSync('KNOWN-RED.txt', 'utf8').split('\n') : []
const known = new Set(lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice('test: '.length).trim()))
let unexpected = report.numFailedTestSuites > 0 && report.numFailedTests === 0 ? 1 : 0
for (const file of report.testResults) {
  if (file.status === 'failed' && file.assertionResults.every((test) => test.status !== 'failed')) unexpected++
  for (const test of file.assertionResults) {
    if (test.status !== 'failed') continue
    const listed = known.has(test.fullName)
    process.stdout.write(`${listed ? 'known red' : 'RED'}: ${test.fullName}\n`)
    if (!listed) unexpected++
  }
}
process.exit(unexpected === 0 ? 0 : 1)
