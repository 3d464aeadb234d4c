#!/usr/bin/env node
'use strict';

require('../dist/main').main(process.argv);
