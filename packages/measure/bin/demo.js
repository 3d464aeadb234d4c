#!/usr/bin/env node
'use strict';

require('../dist/demo').main();
