/** A caller: streams completions and calls services, and tells how each ended. */
import * as stringDecoder from 'node:string_decoder';
import * as eventSource from 'eventsource-parser';
import * as undici from 'undici';

export interface Completion {
  status: number;
  outcome: string;
  /** Milliseconds to the first token; Infinity without one. */
  ttftMs: number;
  totalMs: number;
  text: string;
  tokens: number;
  /** Terminal frame seen. */
  whole: boolean;
  error: string;
}

const agent = new undici.Agent({ connections: 512, headersTimeout: 0, bodyTimeout: 0 });

/** A text of about so many tokens, different for each seed from its first words. */
export function promptOfLength(tokens: number, seed: string): string {
  const word = `${seed} `;
  const length = Math.max(1, tokens * 4 - 8);
  return word.repeat(Math.ceil(length / word.length)).slice(0, length);
}

export interface CompletionRequest {
  entry: string;
  key: string;
  model: string;
  prompt: string;
  answerTokens: number;
  deadlineMs?: number;
  signal?: AbortSignal;
}

export async function complete(wish: CompletionRequest): Promise<Completion> {
  const startedAt = performance.now();
  const result: Completion = {
    status: 0,
    outcome: '',
    ttftMs: Infinity,
    totalMs: 0,
    text: '',
    tokens: 0,
    whole: false,
    error: '',
  };
  try {
    const { statusCode, headers, body } = await undici.request(`${wish.entry}/v1/completions`, {
      method: 'POST',
      dispatcher: agent,
      signal: wish.signal,
      headers: {
        authorization: `Bearer ${wish.key}`,
        'content-type': 'application/json',
        ...(wish.deadlineMs === undefined ? {} : { 'x-deadline-ms': String(wish.deadlineMs) }),
      },
      body: JSON.stringify({
        model: wish.model,
        prompt: wish.prompt,
        max_tokens: wish.answerTokens,
        stream: true,
      }),
    });
    result.status = statusCode;
    result.outcome = String(headers['x-celerydrift-outcome'] ?? '');
    if (statusCode !== 200) result.error = await body.text();
    else await readStream(body, result, startedAt);
  } catch (error) {
    result.error = String(error);
  }
  result.totalMs = performance.now() - startedAt;
  return result;
}

interface Frame {
  choices?: { text?: string }[];
  error?: { message: string; outcome: string };
}

async function readStream(
  body: undici.Dispatcher.ResponseData['body'],
  result: Completion,
  startedAt: number,
): Promise<void> {
  const parser = eventSource.createParser({
    onEvent: ({ data }) => {
      if (data === '[DONE]') {
        result.whole = true;
        result.outcome = 'completed';
        return;
      }
      const frame = JSON.parse(data) as Frame;
      if (frame.error !== undefined) {
        result.error = frame.error.message;
        result.outcome = frame.error.outcome;
        return;
      }
      const text = frame.choices?.[0]?.text ?? '';
      if (text === '') return;
      if (result.tokens === 0) result.ttftMs = performance.now() - startedAt;
      result.tokens += 1;
      result.text += text;
    },
  });
  const decoder = new stringDecoder.StringDecoder('utf8');
  for await (const chunk of body) parser.feed(decoder.write(chunk as Buffer));
}

export interface ServiceResponse {
  status: number;
  outcome: string;
  replayed: boolean;
  text: string;
}

export async function callService(
  entry: string,
  key: string,
  path: string,
  idempotencyKey: string,
  body: unknown,
): Promise<ServiceResponse> {
  try {
    const answer = await undici.request(`${entry}${path}`, {
      method: 'POST',
      dispatcher: agent,
      headers: {
        authorization: `Bearer ${key}`,
        'content-type': 'application/json',
        'idempotency-key': idempotencyKey,
      },
      body: JSON.stringify(body),
    });
    return {
      status: answer.statusCode,
      outcome: String(answer.headers['x-celerydrift-outcome'] ?? ''),
      replayed: answer.headers['x-celerydrift-replayed'] === 'true',
      text: await answer.body.text(),
    };
  } catch (error) {
    return { status: 0, outcome: '', replayed: false, text: String(error) };
  }
}
