/** Writes responses in the formats of `/v1/chat/completions` and `/v1/completions`. */
import type * as http from 'node:http';
import type * as errors from '../requests/errors';
import type * as execution from '../requests/execution';
import * as reply from './reply';

/** Fields that all objects of one response share, and how to write it. */
export interface ResponseMetadata {
  id: string;
  model: string;
  chat: boolean;
  created: number;
  /** Whether a stream ends with the token usage. */
  includeUsage: boolean;
}

function choice(
  { chat }: ResponseMetadata,
  text: string,
  finishReason: string | null,
  isStreamed: boolean,
): unknown {
  const base = { index: 0, finish_reason: finishReason, logprobs: null };
  if (!chat) return { ...base, text };
  if (!isStreamed) return { ...base, message: { role: 'assistant', content: text, refusal: null } };
  return { ...base, delta: text === '' ? {} : { role: 'assistant', content: text } };
}

function usage({ promptTokens, tokens }: execution.Completion): unknown {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: tokens,
    total_tokens: promptTokens + tokens,
  };
}

function envelope(
  { id, model, chat, created }: ResponseMetadata,
  isStreamed: boolean,
): Record<string, unknown> {
  const kind = chat ? 'chat.completion' : 'text_completion';
  return { id, object: chat && isStreamed ? `${kind}.chunk` : kind, created, model };
}

/** Writes the complete answer as one JSON response. */
export function writeCompletion(
  response: http.ServerResponse,
  metadata: ResponseMetadata,
  result: execution.Completion,
): void {
  const content = {
    ...envelope(metadata, false),
    choices: [choice(metadata, result.text, 'stop', false)],
    usage: usage(result),
  };
  reply.json(response, 200, content, {
    ...reply.outcomeHeader('completed'),
    'x-celerydrift-target': result.target,
  });
}

/**
 * Writes a streamed answer. The headers are sent with the first token, so that an earlier failure still
 * gets its own status. A later failure is sent as an error frame; `[DONE]` follows only a complete answer.
 */
export class StreamWriter {
  private isStarted = false;

  private readonly envelope: Record<string, unknown>;

  constructor(
    private readonly response: http.ServerResponse,
    private readonly metadata: ResponseMetadata,
  ) {
    this.envelope = envelope(metadata, true);
  }

  write(text: string): void {
    this.start();
    this.frame({ ...this.envelope, choices: [choice(this.metadata, text, null, true)] });
  }

  end(result: execution.Completion): void {
    this.start();
    this.frame({ ...this.envelope, choices: [choice(this.metadata, '', 'stop', true)] });
    if (this.metadata.includeUsage) {
      this.frame({ ...this.envelope, choices: [], usage: usage(result) });
    }
    this.response.end('data: [DONE]\n\n');
  }

  fail(error: errors.RequestError): void {
    if (!this.isStarted) {
      reply.error(this.response, error);
      return;
    }
    this.frame(reply.errorBody(error));
    this.response.end();
  }

  private start(): void {
    if (this.isStarted) return;
    this.isStarted = true;
    this.response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
    });
  }

  private frame(content: unknown): void {
    this.response.write(`data: ${JSON.stringify(content)}\n\n`);
  }
}
