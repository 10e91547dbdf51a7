/**
 * Exits with 1 if a test or a slow scenario fails that KNOWN-RED.txt does not list. Argument: path of the JSON report of
 * vitest, or of the summary that the scenarios program writes.
 */
import { existsSync, readFileSync } from 'node:fs'

const report = JSON.parse(readFileSync(process.argv[2], 'utf8'))
const lines = existsSync('KNOWN-RED.txt') ? readFileSync('KNOWN-RED.txt', 'utf8').split('\n') : []
const known = new Set(lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice('test: '.length).trim()))
const { names, unnamed } = report.testResults === undefined ? failedScenarios(report) : failedTests(report)
let unexpected = unnamed
for (const name of names) {
  const listed = known.has(name)
  process.stdout.write(`${listed ? 'known red' : 'RED'}: ${name}\n`)
  if (!listed) unexpected++
}
process.exit(unexpected === 0 ? 0 : 1)

/** Full names of the failed tests, and the number of files that failed outside a test. */
function failedTests ({ numFailedTestSuites, numFailedTests, testResults }) {
  let unnamed = numFailedTestSuites > 0 && numFailedTests === 0 ? 1 : 0
  const names = []
  for (const file of testResults) {
    const failed = file.assertionResults.filter((test) => test.status === 'failed')
    if (file.status === 'failed' && failed.length === 0) unnamed++
    names.push(...failed.map((test) => test.fullName))
  }
  return { names, unnamed }
}

/** Names of the failed scenarios, each with the line that failed. A summary without a failure explains no exit code. */
function failedScenarios ({ failed }) {
  const names = failed.map(({ name, detail }) => `slow scenario ${name}, ${/^line \d+/.exec(detail)?.[0] ?? 'no line'}`)
  return { names, unnamed: failed.length === 0 ? 1 : 0 }
}
