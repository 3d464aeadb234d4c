/** Second copies of answers follow the next message on the connection of the first. */
import * as net from 'node:net';
import * as chai from 'chai';
import * as lateCopies from '../lateCopies';
import * as operator from '../operator';

const { expect } = chai;

const ANSWER = { requestId: 'r1', status: 503, headers: ['id', 'r1', 'not-run', '1'], body: '' };
const LONGEST_COPY_MS = 25;

/** The bytes of a copy by its form, from as many connections as it takes for all forms. */
async function copiesOfAllForms(): Promise<Map<lateCopies.Form, string>> {
  const byForm = new Map<lateCopies.Form, string>();
  const copies = new lateCopies.LateCopies();
  while (byForm.size < lateCopies.FORMS.length) {
    const socket = new net.Socket();
    let form: lateCopies.Form | undefined;
    let bytes = '';
    Object.defineProperty(socket, 'writable', { value: true });
    socket.write = (part: unknown) => {
      bytes += String(part);
      return true;
    };
    copies.answered(socket, ANSWER);
    expect(copies.isMisaligned(socket)).to.equal(false);
    copies.messageArrived(socket, (sent) => {
      form = sent;
    });
    if (!copies.isMisaligned(socket)) continue;
    await operator.sleep(LONGEST_COPY_MS);
    if (form !== undefined) byForm.set(form, bytes);
  }
  return byForm;
}

describe('soak: late copies', () => {
  it('bear the first id, none or a second one', async () => {
    const byForm = await copiesOfAllForms();
    const whole = 'HTTP/1.1 503 Copy\r\nid: r1\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n';
    expect(byForm.get('immediate')).to.equal(whole);
    expect(byForm.get('delayed')).to.equal(whole);
    expect(byForm.get('pieces')).to.equal(whole);
    expect(byForm.get('twice')).to.equal(whole + whole);
    expect(byForm.get('withoutId')).to.equal(whole.replace('id: r1\r\n', ''));
    expect(byForm.get('twoIds')).to.equal(whole.replace('id: r1', 'id: r1\r\nid: r1x'));
  });
});
