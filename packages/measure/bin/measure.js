#!/usr/bin/env node
'use strict';

require('../dist/measure').main(process.argv);
