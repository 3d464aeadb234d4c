/** Client of an entry: streams completions and calls services, and reports the outcome of each request. */
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
  /** Whether the stream ended with its terminal event. */
  whole: boolean;
  error: string;
}

const agent = new undici.Agent({ connections: 512, headersTimeout: 0, bodyTimeout: 0 });

/** A prompt of about `tokens` tokens; prompts of different seeds differ from their first words on. */
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

export async function complete(request: CompletionRequest): Promise<Completion> {
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
    const { statusCode, headers, body } = await undici.request(`${request.entry}/v1/completions`, {
      method: 'POST',
      dispatcher: agent,
      signal: request.signal,
      headers: {
        authorization: `Bearer ${request.key}`,
        'content-type': 'application/json',
        ...(request.deadlineMs === undefined
          ? {}
          : { 'x-deadline-ms': String(request.deadlineMs) }),
      },
      body: JSON.stringify({
        model: request.model,
        prompt: request.prompt,
        max_tokens: request.answerTokens,
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
  /** Whether the response was replayed from the ledger. */
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
    const response = await undici.request(`${entry}${path}`, {
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
      status: response.statusCode,
      outcome: String(response.headers['x-celerydrift-outcome'] ?? ''),
      replayed: response.headers['x-celerydrift-replayed'] === 'true',
      text: await response.body.text(),
    };
  } catch (error) {
    return { status: 0, outcome: '', replayed: false, text: String(error) };
  }
}
