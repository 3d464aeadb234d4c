/** Work that nobody awaits. Its unexpected errors are logged, as an unhandled one would end the process. */
import type * as observer from './observability/observer';

/** `subject` says in the log what the work is about. */
export function run(
  work: Promise<unknown>,
  observe: Pick<observer.Observer, 'log'>,
  subject: object,
): void {
  work.catch((error: unknown) => observe.log('crashed', { ...subject, error: String(error) }));
}
