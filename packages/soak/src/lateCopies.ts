/**
 * Second copies of a target's answers, which arrive late: on the same connection, where the answer to the next message is
 * due. They bear the id of the message that they answered first, unless their form says otherwise, and state whatever
 * that answer stated.
 */
import type * as net from 'node:net';
import * as domain from '@celerydrift/domain';

/** Share of the answers that are sent a second time. */
const REPEATED_SHARE = 0.3;

/** Shorter than the time that a target takes for an answer, so that the copy arrives first. */
const DELAY_MS = 10;
const PIECES_INTERVAL_MS = 8;

export const FORMS = ['immediate', 'delayed', 'pieces', 'twice', 'withoutId', 'twoIds'] as const;
export type Form = (typeof FORMS)[number];

/** An answer as the target sent it first. */
export interface Answer {
  requestId: string;
  status: number;
  /** Names and values, alternating. */
  headers: readonly string[];
  body: string;
}

export class LateCopies {
  private readonly bySocket = new WeakMap<net.Socket, Answer>();

  private readonly misaligned = new WeakSet<net.Socket>();

  /** Whether a copy precedes the answers on a connection, so that its other side can't rely on them. */
  isMisaligned(socket: net.Socket): boolean {
    return this.misaligned.has(socket);
  }

  /** Keeps a part of the answers for a second time. */
  answered(socket: net.Socket, answer: Answer): void {
    if (Math.random() < REPEATED_SHARE) this.bySocket.set(socket, answer);
  }

  /** Sends the copy that is left on a connection, as another message has arrived there. */
  messageArrived(socket: net.Socket, onSent: (form: Form) => void): void {
    const answer = this.bySocket.get(socket);
    if (answer === undefined) return;
    this.bySocket.delete(socket);
    this.misaligned.add(socket);
    const form = domain.shared.random.pick({ uniform: Math.random }, FORMS);
    const bytes = bytesOf(answer, form);
    const write = (part: string): boolean => socket.writable && socket.write(part);
    const send = (): void => {
      onSent(form);
      const firstPart = form === 'pieces' ? bytes.slice(0, bytes.length / 2) : bytes;
      write(form === 'twice' ? bytes + bytes : firstPart);
      if (form === 'pieces')
        setTimeout(() => write(bytes.slice(firstPart.length)), PIECES_INTERVAL_MS);
    };
    if (form === 'delayed') setTimeout(send, DELAY_MS);
    else send();
  }
}

function bytesOf({ requestId, status, headers, body }: Answer, form: Form): string {
  const fields = headers.flatMap((name, i) => (i % 2 === 0 ? [[name, headers[i + 1]]] : []));
  const ids = fields.filter(([, value]) => value === requestId);
  const others = fields.filter((each) => !ids.includes(each));
  const foreignIds = form === 'twoIds' ? ids.map(([name]) => [name, `${requestId}x`]) : [];
  const lines = [...(form === 'withoutId' ? [] : ids), ...foreignIds, ...others].map(
    ([name, value]) => `${name}: ${value}`,
  );
  return [`HTTP/1.1 ${status} Copy`, ...lines, `content-length: ${body.length}`, '', body].join(
    '\r\n',
  );
}
