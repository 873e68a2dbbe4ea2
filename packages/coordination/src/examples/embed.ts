/** Two processes in one program: they discover each other, share a configuration, and claim a key once. */
import {
  claims,
  controlNode,
  documentCodec,
  grpcTransport,
  memoryStore,
} from '@copperlever/coordination';
import { clocks, randoms } from '@copperlever/runtime';
import * as grpc from '@grpc/grpc-js';

type Document = { greeting: string };

const clock = clocks.createSystemClock();
/** A real program uses `httpStore.createHttpObjectStore`, wrapped by `resilientStore.createResilientStore`. */
const store = memoryStore.createMemoryStore(clock);
const seconds = (count: number) => clock.nowMs() + count * 1_000;

async function startNode(name: string, port: number, seedAddresses: readonly string[]) {
  const node = controlNode.createControlNode<Document>({
    self: {
      memberId: name,
      incarnation: Date.now(),
      address: `127.0.0.1:${port}`,
      region: 'home',
      failureDomain: 'desk',
      attributes: Buffer.alloc(0),
    },
    store,
    transport: grpcTransport.createGrpcTransport({ clock }),
    codec: documentCodec.createJsonCodec<Document>(),
    clock,
    random: randoms.createRandom(port),
    seedAddresses,
  });
  const server = new grpc.Server();
  grpcTransport.addPeerService(server, node.handlers);
  await new Promise((resolve) => {
    const credentials = grpc.ServerCredentials.createInsecure();
    server.bindAsync(`127.0.0.1:${port}`, credentials, resolve);
  });
  await node.start();
  return { ...node, server };
}

/** Returns the members and the configuration that the second process observed, and the results of the claims. */
export async function runExample(firstPort: number) {
  const first = await startNode('first', firstPort, []);
  const second = await startNode('second', firstPort + 1, [`127.0.0.1:${firstPort}`]);
  const receivedDocument = new Promise<Document>((resolve) => {
    second.follower.onChange(({ document }) => resolve(document));
  });
  const document = { greeting: 'hello' };
  const submission = { operator: 'lan', patch: document, againstVersion: 0, document };
  await first.config.submit(submission, seconds(5));

  const claimStore = claims.createClaims({ store, clock, random: randoms.createRandom(firstPort) });
  const wanted = { key: 'order-1', fingerprint: 'f', requestId: 'r', holderId: 'x', target: null };
  const attempts = [
    await claimStore.claim(wanted, seconds(5)),
    await claimStore.claim(wanted, seconds(5)),
  ];

  const observed = {
    members: second.membership.members().map((member) => member.memberId),
    document: await receivedDocument,
    claims: attempts.map((attempt) => attempt.unwrap().kind),
  };
  await Promise.all([first.stop(), second.stop()]);
  [first, second].forEach((node) => node.server.forceShutdown());
  return observed;
}
