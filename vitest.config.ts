import { configDefaults, defineConfig } from 'vitest/config'

export default defineConfig({
  resolve: { conditions: ['source'] },
  ssr: { resolve: { conditions: ['source'] } },
  test: {
    include: ['packages/*/test/**/*.spec.ts', 'platform/test/**/*.spec.ts'],
    exclude: [...configDefaults.exclude, 'platform/test/crowd/**', 'packages/*/test/crowd/**'],
    testTimeout: 20_000,
    server: { deps: { inline: [/@fireflymount/] } }
  }
})
