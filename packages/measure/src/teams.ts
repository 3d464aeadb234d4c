/** Settings of two teams with a model and a service each, for measurements and the demo. */
import * as fleet from './fleet';

export interface Team {
  name: string;
  key: string;
  model: string;
  settings: string;
}

function makeTeam(name: string, organisation: string, model: string, services: string): Team {
  const key = `key-of-${organisation}`;
  const settings = `[organisation.${organisation}]
key = sha256:${fleet.sha256(key)}
share = 2
deadline-seconds = 120
[model.${model}]
base = base
version = 1
${services}`;
  return { name, key, model, settings };
}

export const FITTERS = makeTeam(
  'fitters',
  'kisumu',
  'quotes',
  `[service.parts]
not-repeatable = POST /holds
timeout-seconds = 20
`,
);

export const PITS = makeTeam(
  'pits',
  'maypen',
  'summaries',
  `[service.ledger]
not-repeatable = POST /entries
timeout-seconds = 20
`,
);
