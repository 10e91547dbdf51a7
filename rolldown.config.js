/** Bundles the deployed program into one small file: loading and parsing take most of a start. */
export default {
  input: 'platform/src/main.ts',
  platform: 'node',
  resolve: { conditionNames: ['source', 'import', 'node', 'default'] },
  output: { file: 'target/fireflymount.mjs', format: 'esm', codeSplitting: false, minify: true }
}
