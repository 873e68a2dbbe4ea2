// Airbnb rules through eslint-config-airbnb-extended; what the house style changes is listed below.
import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

export default [
  {
    ignores: [
      '**/dist/**',
      '**/target/**',
      '**/node_modules/**',
      'packages/protocol/src/generated/**',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  prettier,
  {
    rules: {
      // ESM on Node wants the ending of a relative import.
      'import-x/extensions': 'off',
      // House style: named exports only.
      'import-x/prefer-default-export': 'off',
      'prefer-destructuring': 'off',
      '@typescript-eslint/prefer-destructuring': 'off',
      'import-x/no-default-export': 'error',
      // House style: type over interface.
      '@typescript-eslint/consistent-type-definitions': ['error', 'type'],
      // Top-level functions are hoisted; a module reads from the general to the particular.
      '@typescript-eslint/no-use-before-define': 'off',
      'no-use-before-define': 'off',
      // Exhaustive switches return in each case.
      'consistent-return': 'off',
      'default-case': 'off',
      // Loops that wait on purpose: probes, retries, watches.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'no-restricted-syntax': 'off',
      // Factory functions close over state and change it.
      'no-param-reassign': 'off',
      'no-plusplus': 'off',
      'no-void': 'off',
      // The runner and the libraries are dependencies of the root, shared by the workspace.
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/no-rename-default': 'off',
      'import-x/no-named-as-default': 'off',
      'import-x/no-named-as-default-member': 'off',
      'import-x/no-cycle': 'error',
    },
  },
  {
    files: ['scripts/**', 'bin/**', '*.mjs', '**/main.ts', '**/bench/**'],
    rules: { 'no-console': 'off' },
  },
  {
    files: ['**/*.mjs'],
    languageOptions: {
      globals: {
        process: 'readonly',
        console: 'readonly',
        setTimeout: 'readonly',
        fetch: 'readonly',
        performance: 'readonly',
      },
    },
  },
  {
    files: ['**/*.cjs'],
    languageOptions: {
      globals: {
        __dirname: 'readonly',
        module: 'writable',
        process: 'readonly',
        require: 'readonly',
      },
    },
  },
  // They stand for packages, and name the files of these themselves: the package's name would lead back to them.
  {
    files: ['scripts/deploy/**'],
    rules: {
      'import-x/no-default-export': 'off',
      'import-x/no-relative-packages': 'off',
      'import-x/no-useless-path-segments': 'off',
    },
  },
  { files: ['*.mjs'], rules: { 'import-x/no-default-export': 'off' } },
];
