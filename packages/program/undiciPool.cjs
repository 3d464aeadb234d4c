/**
 * The part of undici that the program uses. The whole library also brings fetch, caches and WebSockets,
 * whose loading is a third of a restarted VM's start.
 */
module.exports = { Pool: require('undici/lib/dispatcher/pool') };
