/**
 * Ids of messages to targets, which targets repeat in their responses. A target may send a response twice or late, where
 * the response to the next message on the connection is due, so a response says nothing about a message just because it
 * arrived after it. The comparison is part of sending: nobody can read a response before it.
 */
import * as crypto from 'node:crypto';
import type * as undici from 'undici';

const HEADER = 'x-celerydrift-message-id';

const FIRST_FINAL_STATUS = 200;

/** A response to another message. Whether the target runs this one is unknown. */
export class ForeignResponseError extends Error {
  readonly code = 'FOREIGN_RESPONSE';

  constructor(
    /** Id of the message. */
    readonly id: string,
    /** Id in the response; undefined if there is none or more than one. */
    readonly answered: string | undefined,
    readonly status: number,
  ) {
    super(`response ${status} to message ${answered ?? 'without an id'}, not ${id}`);
  }
}

/** What a connection and its target let a response without an id prove. */
export interface Expectations {
  /** Whether the connection carries only this message, so that no former response can arrive on it. */
  isOwnConnection: boolean;
  /** Called with the response before anything of it is read, unless it is foreign. */
  onOwnResponse: (repeatsId: boolean) => void;
}

type Handler = undici.Dispatcher.DispatchHandler;

/** Sends each message with a new id, and fails it and ends its connection if another one's response arrives. */
export function interceptor({
  isOwnConnection,
  onOwnResponse,
}: Expectations): undici.Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (options, handler) => {
    const id = crypto.randomUUID();
    const headers = { ...(options.headers as Record<string, string>), [HEADER]: id };
    const checked: Handler = {
      onRequestStart: (controller, context) => handler.onRequestStart?.(controller, context),
      onRequestUpgrade: (...upgrade) => handler.onRequestUpgrade?.(...upgrade),
      onResponseStart: (controller, status, responseHeaders, statusMessage) => {
        const { [HEADER]: repeated } = responseHeaders;
        const isOwn = repeated === id || (isOwnConnection && repeated === undefined);
        // Interim responses bear no id and prove nothing.
        if (status >= FIRST_FINAL_STATUS && !isOwn) {
          const answered = typeof repeated === 'string' ? repeated : undefined;
          // Aborted here and not by the caller: a short response would be complete by then and its connection reused.
          controller.abort(new ForeignResponseError(id, answered, status));
          return;
        }
        if (status >= FIRST_FINAL_STATUS) onOwnResponse(repeated === id);
        handler.onResponseStart?.(controller, status, responseHeaders, statusMessage);
      },
      onResponseData: (controller, chunk) => handler.onResponseData?.(controller, chunk),
      onResponseEnd: (controller, trailers) => handler.onResponseEnd?.(controller, trailers),
      onResponseError: (controller, error) => handler.onResponseError?.(controller, error),
    };
    return dispatch({ ...options, headers }, checked);
  };
}
