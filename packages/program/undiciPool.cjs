/**
 * Replaces undici in the bundle with its Pool, the only export that the program uses. The whole library includes fetch,
 * caches and WebSockets, and loading these takes a third of a restarted VM's start.
 */
module.exports = { Pool: require('undici/lib/dispatcher/pool') };
