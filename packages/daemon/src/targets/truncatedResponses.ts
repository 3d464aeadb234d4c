/** Fails responses that undici takes for complete although their connection was reset, or closed too early. */
import type * as undici from 'undici';
import type * as connectionEnds from '../http/connectionEnds';
import * as sentMessages from '../http/sentMessages';
import * as unsentRequests from '../http/unsentRequests';

type Handler = undici.Dispatcher.DispatchHandler;

/** The connection of a response ended before the response did. Whether the target ran the message is unknown. */
export class TruncatedResponseError extends Error {
  readonly code = 'TRUNCATED_RESPONSE';
}

function lengthOf(body: undici.Dispatcher.DispatchOptions['body']): number {
  return typeof body === 'string' || Buffer.isBuffer(body) ? Buffer.byteLength(body) : 0;
}

/** `ends` watches the connections of the dispatcher. */
export function interceptor(
  ends: connectionEnds.ConnectionEnds,
): undici.Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (options, handler) => {
    let isChunked = false;
    const checked: Handler = {
      onRequestStart: (controller, context) => {
        sentMessages.awaitConnection((_connection, socket) => {
          unsentRequests.recordRequest(socket, lengthOf(options.body));
        });
        handler.onRequestStart?.(controller, context);
      },
      onRequestUpgrade: (...upgrade) => handler.onRequestUpgrade?.(...upgrade),
      onResponseStart: (controller, status, headers, statusMessage) => {
        isChunked = headers['transfer-encoding'] !== undefined;
        handler.onResponseStart?.(controller, status, headers, statusMessage);
      },
      onResponseData: (controller, chunk) => handler.onResponseData?.(controller, chunk),
      onResponseEnd: (controller, trailers) => {
        if (!ends.isCut(isChunked)) handler.onResponseEnd?.(controller, trailers);
        else {
          const error = new TruncatedResponseError(`${ends.current} midway`);
          handler.onResponseError?.(controller, error);
        }
      },
      onResponseError: (controller, error) => handler.onResponseError?.(controller, error),
    };
    return dispatch(options, checked);
  };
}
