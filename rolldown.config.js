/** Bundles the deployed program into one minified file, because loading and parsing modules takes most of the startup time. */
export default {
  input: 'platform/src/main.ts',
  platform: 'node',
  resolve: { conditionNames: ['source', 'import', 'node', 'default'] },
  output: { file: 'target/fireflymount.mjs', format: 'esm', codeSplitting: false, minify: true }
}
