/**
 * A stand-in of the platform's store, as the page of the protocol tells it: objects by kind with one revision counter, conditional
 * writes, listings in pages, watches. It can lose the answer to a write that it has done.
 */
import { Buffer } from 'node:buffer';
import * as http from 'node:http';
import * as url from 'node:url';

const PAGE_SIZE = 500;
const WAIT_MAX_MS = 30_000;
const PATH = /^\/v1\/objects\/([^/?]+)(?:\/([^/?]+))?(\/status)?$/;

async function readJson(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
}

export async function startStore({ host, note }) {
  const kinds = new Map();
  const events = [];
  const waiting = new Set();
  let revision = 100;
  /** Whether the answer to this write is lost, after the write has taken effect. */
  let losesAnswer = () => false;
  let onWritten = () => {};

  function kindOf(kind) {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  }

  function publish(kind, object, deleted) {
    events.push({ kind, revision, object: JSON.parse(JSON.stringify(object)), deleted });
    [...waiting].forEach((wake) => wake());
    onWritten({ kind, object, deleted });
  }

  function write(kind, name, fields) {
    const before = kindOf(kind).get(name);
    const next = { ...before, ...fields };
    const isSame =
      before !== undefined &&
      JSON.stringify([before.spec, before.status]) === JSON.stringify([next.spec, next.status]);
    if (isSame) return before;
    revision += 1;
    const createRev = before?.metadata.createRev ?? revision;
    const object = {
      metadata: { name, revision, createRev, finalizers: [], deleting: false },
      spec: next.spec ?? {},
      status: next.status ?? {},
    };
    kindOf(kind).set(name, object);
    publish(kind, object, false);
    return object;
  }

  function remove(kind, name) {
    const object = kindOf(kind).get(name);
    if (object === undefined) return null;
    kindOf(kind).delete(name);
    revision += 1;
    const gone = { ...object, metadata: { ...object.metadata, revision } };
    publish(kind, gone, true);
    return gone;
  }

  function list(kind, after) {
    const names = [...kindOf(kind).keys()].sort().filter((name) => name > after);
    return {
      items: names.slice(0, PAGE_SIZE).map((name) => kindOf(kind).get(name)),
      hasMore: names.length > PAGE_SIZE,
      currentRev: revision,
    };
  }

  function changesAfter(kind, from) {
    return events
      .filter((event) => event.kind === kind && event.revision > from)
      .map(({ object, deleted }) => ({ object, deleted }));
  }

  async function watch(kind, from, waitMs) {
    if (changesAfter(kind, from).length === 0) {
      await new Promise((resolve) => {
        const wake = () => {
          if (changesAfter(kind, from).length === 0) return;
          waiting.delete(wake);
          resolve();
        };
        waiting.add(wake);
        setTimeout(
          () => {
            waiting.delete(wake);
            resolve();
          },
          Math.min(WAIT_MAX_MS, waitMs),
        );
      });
    }
    return { events: changesAfter(kind, from), currentRev: revision };
  }

  async function handle(request) {
    const { method } = request;
    const { pathname, searchParams } = new url.URL(request.url, 'http://store');
    const [, kind, encodedName, status] = PATH.exec(pathname) ?? [];
    if (kind === undefined) return { code: 404, body: {} };
    const name = encodedName === undefined ? undefined : decodeURIComponent(encodedName);
    if (method === 'GET' && name !== undefined) {
      const found = kindOf(kind).get(name);
      return found === undefined ? { code: 404, body: {} } : { code: 200, body: found };
    }
    if (method === 'GET') {
      const from = searchParams.get('watch');
      if (from === null) return { code: 200, body: list(kind, searchParams.get('after') ?? '') };
      const waitMs = Number(searchParams.get('waitMs') ?? 0);
      return { code: 200, body: await watch(kind, Number(from), waitMs) };
    }
    const body = await readJson(request);
    const target = name ?? body.metadata?.name;
    const present = kindOf(kind).get(target);
    const condition = body.metadata?.revision ?? searchParams.get('revision');
    const isStale =
      condition !== undefined &&
      condition !== null &&
      Number(condition) !== present?.metadata.revision;
    if (method === 'POST' && present !== undefined) return { code: 409, body: present };
    if (isStale || (method !== 'POST' && present === undefined)) {
      const code = present === undefined ? 404 : 409;
      return { code, body: present ?? {} };
    }
    if (method === 'DELETE') return { code: 200, body: remove(kind, target) };
    const fields = status === undefined ? { spec: body.spec } : { status: body.status };
    const object = write(kind, target, fields);
    const isLost = losesAnswer({ method, kind, object });
    note('store-write', { kind, name: target, spec: JSON.stringify(object.spec), isLost });
    return isLost ? null : { code: method === 'POST' ? 201 : 200, body: object };
  }

  const server = http.createServer((request, response) => {
    void handle(request).then((answer) => {
      // The channel on which an answer is lost stays open and returns nothing further.
      if (answer === null) return;
      const text = JSON.stringify(answer.body);
      response.writeHead(answer.code, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      response.end(text);
    });
  });
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  const { port } = server.address();

  return {
    address: `${host}:${port}`,
    put: (kind, name, spec) => write(kind, name, { spec }),
    get: (kind, name) => kindOf(kind).get(name) ?? null,
    remove,
    loseAnswers: (predicate) => {
      losesAnswer = predicate;
    },
    onWritten: (task) => {
      onWritten = task;
    },
    close: () => {
      server.closeAllConnections();
      return new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };
}
