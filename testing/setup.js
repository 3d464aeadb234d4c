// Loaded by mocha before the tests: snapshots beside the tests, as `__snapshots__`.
const chai = require('chai');
const { jestSnapshotPlugin } = require('mocha-chai-jest-snapshot');

chai.use(jestSnapshotPlugin());
