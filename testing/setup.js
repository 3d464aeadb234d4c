// Loaded by mocha before the tests: adds `toMatchSnapshot`, with snapshots in `__snapshots__` beside each test.
const chai = require('chai');
const { jestSnapshotPlugin } = require('mocha-chai-jest-snapshot');

chai.use(jestSnapshotPlugin());
