/** Parses and validates request bodies of `/v1/chat/completions` and `/v1/completions`. */
import { Err, Ok, Result } from 'ts-results';
import * as errors from '../requests/errors';
import * as boundedJson from './boundedJson';

export interface CompletionRequest {
  model: string;
  prompt: string;
  answerTokens: number;
  stream: boolean;
  includeUsage: boolean;
}

/** Used when the caller sets no limit on the answer. */
const DEFAULT_ANSWER_TOKENS = 256;

const MAX_ANSWER_TOKENS = 32_768;

type JsonObject = Record<string, unknown>;

function isJsonObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function badRequest(message: string): Err<errors.RequestError> {
  return Err(errors.notRun('badRequest', message));
}

function contentText(content: unknown): string | undefined {
  if (typeof content === 'string') return content;
  if (content === null || content === undefined) return '';
  if (!Array.isArray(content)) return undefined;
  const parts = content.map((part: unknown) =>
    isJsonObject(part) && typeof part.text === 'string' ? part.text : undefined,
  );
  return parts.includes(undefined) ? undefined : parts.join('');
}

function promptOfMessages(messages: unknown): string | undefined {
  if (!Array.isArray(messages) || messages.length === 0) return undefined;
  const lines = messages.map((message: unknown) => {
    if (!isJsonObject(message) || typeof message.role !== 'string') return undefined;
    const text = contentText(message.content);
    return text === undefined ? undefined : `${message.role}: ${text}\n`;
  });
  return lines.includes(undefined) ? undefined : lines.join('');
}

function promptOf(fields: JsonObject, chat: boolean): Result<string, errors.RequestError> {
  if (chat) {
    const prompt = promptOfMessages(fields.messages);
    if (prompt !== undefined) return Ok(prompt);
    return badRequest('messages: give a non-empty list of {role, content} with text content');
  }
  if (typeof fields.prompt === 'string' && fields.prompt !== '') return Ok(fields.prompt);
  return badRequest('prompt: give a non-empty text');
}

function answerTokensOf(fields: JsonObject): Result<number, errors.RequestError> {
  const requested = fields.max_completion_tokens ?? fields.max_tokens ?? DEFAULT_ANSWER_TOKENS;
  const isValid =
    Number.isInteger(requested) &&
    (requested as number) >= 1 &&
    (requested as number) <= MAX_ANSWER_TOKENS;
  if (isValid) return Ok(requested as number);
  return badRequest(`max_tokens: give a whole number from 1 to ${MAX_ANSWER_TOKENS}`);
}

export function parse(body: Buffer, chat: boolean): Result<CompletionRequest, errors.RequestError> {
  let fields: unknown;
  try {
    fields = boundedJson.parse(body);
  } catch {
    return badRequest('the body is not valid JSON');
  }
  if (!isJsonObject(fields)) return badRequest('the body must be a JSON object');
  if (typeof fields.model !== 'string') return badRequest('model: give the name of a model');
  if (fields.n !== undefined && fields.n !== 1) return badRequest('n: only 1 is supported');
  const prompt = promptOf(fields, chat);
  if (prompt.err) return prompt;
  const answerTokens = answerTokensOf(fields);
  if (answerTokens.err) return answerTokens;
  const options = isJsonObject(fields.stream_options) ? fields.stream_options : {};
  return Ok({
    model: fields.model,
    prompt: prompt.val,
    answerTokens: answerTokens.val,
    stream: fields.stream === true,
    includeUsage: options.include_usage === true,
  });
}
