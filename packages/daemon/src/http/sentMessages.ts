/**
 * Which connection carries a message. undici doesn't tell its handlers; it publishes the socket on a diagnostics channel,
 * in the same turn in which it tells the handler that the request starts.
 */
import * as diagnosticsChannel from 'node:diagnostics_channel';
import type * as net from 'node:net';

export interface Connection {
  /** Local port. */
  port: number;
  /** Number of messages that it has carried, with the current one. */
  messages: number;
}

const messageCounts = new WeakMap<net.Socket, number>();

type Listener = (connection: Connection, socket: net.Socket) => void;

let onSent: Listener | undefined;

diagnosticsChannel.subscribe('undici:client:sendHeaders', (event) => {
  const { socket } = event as { socket: net.Socket };
  const messages = (messageCounts.get(socket) ?? 0) + 1;
  messageCounts.set(socket, messages);
  onSent?.({ port: socket.localPort ?? 0, messages }, socket);
  onSent = undefined;
});

/** Called from `onRequestStart`: the message that is sent next in this turn is the handler's. */
export function awaitConnection(listener: Listener): void {
  onSent = listener;
}
