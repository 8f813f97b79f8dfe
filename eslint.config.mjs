import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['dist/**', 'node_modules/**'] },
  ...tseslint.configs.recommended,
  {
    files: ['source/**/*.ts', 'platform/**/*.ts', 'tests/**/*.ts'],
    languageOptions: { parserOptions: { project: './tsconfig.json' } },
    rules: {
      '@typescript-eslint/no-floating-promises': [
        'error',
        { allowForKnownSafeCalls: [{ from: 'package', name: ['test', 'describe', 'it'], package: 'node:test' }] },
      ],
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/prefer-readonly': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': ['error', { considerDefaultExhaustiveForUnions: true }],
      '@typescript-eslint/consistent-type-imports': 'error',
      eqeqeq: 'error',
      'prefer-const': 'error',
      // Product code reads time only through Clock, so that the simulator decides what time it is.
      'no-restricted-properties': [
        'error',
        { object: 'Date', property: 'now' },
        { object: 'Math', property: 'random' },
      ],
      'no-restricted-syntax': [
        'error',
        { selector: "NewExpression[callee.name='Date']", message: 'No decision may follow a wall clock.' },
        { selector: "CallExpression[callee.name='Date']", message: 'No decision may follow a wall clock.' },
      ],
    },
  },
  {
    // Why besides: these clocks stand still while a machine sleeps, and only the elapsed time of Clock counts that.
    files: [
      'source/core-keeper/**/*.ts',
      'source/edge-agent/**/*.ts',
      'source/edge-proxy/**/*.ts',
      'source/shared/**/*.ts',
    ],
    ignores: ['source/shared/effects/clock/realClock.ts'],
    rules: {
      'no-restricted-globals': ['error', 'performance'],
      'no-restricted-properties': [
        'error',
        { object: 'Date', property: 'now' },
        { object: 'Math', property: 'random' },
        { object: 'process', property: 'hrtime' },
        { object: 'process', property: 'uptime' },
        { object: 'os', property: 'uptime' },
      ],
    },
  },
);
