/** A minimal HTTP server for the stand-ins, with one handler for all requests and JSON responses. */
import * as http from 'node:http';
import * as net from 'node:net';

/** Id of a message, which the response repeats. */
const MESSAGE_ID_HEADER = 'x-celerydrift-message-id';

/** A received request with its body, and the response to it. */
export interface Call {
  method: string;
  path: string;
  query: URLSearchParams;
  headers: http.IncomingHttpHeaders;
  body: string;
  request: http.IncomingMessage;
  response: http.ServerResponse;
}

export type Handler = (call: Call) => void | Promise<void>;

/** Sends a JSON response, unless a response has already begun. */
export function sendJson(call: Call, status: number, content: unknown): void {
  if (call.response.headersSent) return;
  call.response.writeHead(status, { 'content-type': 'application/json' });
  call.response.end(JSON.stringify(content));
}

async function readBody(request: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

export class HttpServer {
  readonly sockets = new Set<net.Socket>();

  private readonly server: http.Server;

  constructor(handler: Handler) {
    this.server = http.createServer((request, response) => {
      void this.serve(handler, request, response);
    });
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
      socket.on('error', () => undefined);
    });
  }

  /** Starts listening and returns the port. */
  async listen(host: string, port: number): Promise<number> {
    await new Promise<void>((resolve) => {
      this.server.listen(port, host, resolve);
    });
    return (this.server.address() as net.AddressInfo).port;
  }

  async close(): Promise<void> {
    // Fault injection may have replaced the socket's own `destroy`, so the prototype's is called.
    this.sockets.forEach((socket) => net.Socket.prototype.destroy.call(socket));
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  private async serve(
    handler: Handler,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    try {
      const messageId = request.headers[MESSAGE_ID_HEADER];
      if (messageId !== undefined) response.setHeader(MESSAGE_ID_HEADER, messageId);
      const body = await readBody(request);
      const url = new URL(request.url ?? '/', 'http://standin');
      const method = request.method ?? 'GET';
      const { pathname: path, searchParams: query } = url;
      await handler({ method, path, query, headers: request.headers, body, request, response });
    } catch (error) {
      if (!response.headersSent) response.writeHead(500).end(String(error));
      else response.destroy();
    }
  }
}
