import prettier from 'eslint-config-prettier';
import { configs, plugins } from 'eslint-config-airbnb-extended';

// The code base uses namespace imports and a single event loop, so the rules that forbid `import *`,
// `await` in a loop and `for...of` are off. Extensions are resolved by the compiler.
const deviations = {
  'import-x/prefer-default-export': 'off',
  'import-x/no-extraneous-dependencies': 'off',
  'import-x/extensions': 'off',
  'import-x/no-namespace': 'off',
  'import-x/no-unresolved': 'off',
  'import-x/no-rename-default': 'off',
  'import-x/namespace': 'off',
  'import-x/order': 'off',
  'import-x/no-cycle': 'error',
  'no-await-in-loop': 'off',
  'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
  'no-continue': 'off',
  'no-plusplus': ['error', { allowForLoopAfterthoughts: true }],
  'no-void': ['error', { allowAsStatement: true }],
  'class-methods-use-this': 'off',
  'no-param-reassign': ['error', { props: false }],
  'no-use-before-define': 'off',
  'no-underscore-dangle': 'off',
  'consistent-return': 'off',
  'default-case': 'off',
  'max-classes-per-file': 'off',
  'no-nested-ternary': 'off',
  '@typescript-eslint/no-use-before-define': 'off',
  '@typescript-eslint/consistent-type-imports': 'off',
  '@typescript-eslint/naming-convention': 'off',
  '@typescript-eslint/no-loop-func': 'off',
  '@typescript-eslint/default-param-last': 'off',
  '@typescript-eslint/no-shadow': 'error',
  '@typescript-eslint/consistent-type-definitions': 'off',
  '@typescript-eslint/consistent-indexed-object-style': 'off',
  '@typescript-eslint/no-restricted-types': 'off',
  '@typescript-eslint/no-import-type-side-effects': 'off',
  '@typescript-eslint/member-ordering': 'off',
  '@typescript-eslint/method-signature-style': 'off',
  '@typescript-eslint/prefer-destructuring': 'off',
  'prefer-destructuring': 'off',
  'arrow-body-style': 'off',
  curly: 'off',
  'no-bitwise': 'off',
};

/** Enforces the dependency direction domain <- daemon <- tools: the domain performs no I/O. */
const domainBoundary = {
  files: ['packages/domain/src/**/*.ts'],
  ignores: ['**/__tests__/**'],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [
          {
            regex: '^(node:|undici|@celerydrift/)|/platform/',
            message: 'The domain has no input or output.',
          },
        ],
      },
    ],
    'no-restricted-globals': ['error', 'fetch', 'setTimeout', 'setInterval', 'process'],
    'no-restricted-properties': [
      'error',
      { object: 'Date', property: 'now', message: 'Time comes with the event.' },
      { object: 'Math', property: 'random', message: 'Randomness is injected.' },
    ],
  },
};

/**
 * Only packages/program combines the daemon with the platform adapter, so that no other package depends on the
 * platform. The soak test runs that program, and its stand-ins use the adapter's counterpart.
 */
const platformBoundary = {
  files: ['packages/**/*.ts'],
  ignores: ['packages/program/**', 'packages/soak/**'],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [
          {
            regex: '^@celerydrift/platform|/platform/',
            message: 'Only packages/program and packages/soak import the adapter to the platform.',
          },
        ],
      },
    ],
  },
};

export default [
  {
    ignores: [
      '**/dist/**',
      'target/**',
      'soak-runs/**',
      '**/bin/**',
      '**/__snapshots__/**',
      'eslint.config.mjs',
      '**/bundle.mjs',
      '**/loader.cjs',
      '**/earlyListener.cjs',
      '**/codeCache.cjs',
      '**/replaceFile.cjs',
      '**/targetFiles.cjs',
      'testing/**',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  prettier, // Turns off the rules that conflict with the formatter.
  { files: ['**/*.ts'], rules: deviations },
  platformBoundary,
  domainBoundary,
  {
    files: ['**/__tests__/**/*.ts'],
    languageOptions: {
      parserOptions: { projectService: false, project: ['./tsconfig.tests.json'] },
    },
    rules: { '@typescript-eslint/no-unused-expressions': 'off' },
  },
];
