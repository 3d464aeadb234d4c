#!/usr/bin/env node
'use strict';

require('../dist/report').main();
