/** Names of hosts in routes and requests. */

/** The form in which names are compared: they don't depend on the case of their letters. */
export function canonicalName(host: string): string {
  return host.toLowerCase();
}
