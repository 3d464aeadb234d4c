/** Creates routing policies by their names in a daemon's settings. */
import * as domain from '@celerydrift/domain';

const { policy } = domain.routing;

export function byName(
  name: string,
  random: domain.shared.random.Random,
): domain.routing.policy.Policy {
  if (name === 'roundRobin') return new policy.RoundRobin();
  if (name === 'leastOutstanding') return new policy.LeastOutstanding(random);
  if (name === 'enginePriority') return new policy.EnginePriority();
  if (name === 'longCap') return new policy.LongCap();
  return new policy.ElasticReserve(random);
}
