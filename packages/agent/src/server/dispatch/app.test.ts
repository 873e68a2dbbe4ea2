import { agent } from '@copperlever/protocol';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import * as grpc from '@grpc/grpc-js';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as dispatchApp from './app.js';

const test = suite('dispatch service');

async function startServer(service: dispatchApp.DispatchApp) {
  const server = new grpc.Server();
  const unused = () => {};
  const placing = { offer: unused, addCopy: unused, reportDemand: unused };
  server.addService(agent.AgentServiceService, { ...service, ...placing });
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync('127.0.0.1:0', grpc.ServerCredentials.createInsecure(), (error, bound) => {
      if (error === null) resolve(bound);
      else reject(error);
    });
  });
  const client = new agent.AgentServiceClient(
    `127.0.0.1:${port}`,
    grpc.credentials.createInsecure(),
  );
  return {
    client,
    close: () => {
      client.close();
      server.forceShutdown();
    },
  };
}

function endOf(stream: grpc.ClientReadableStream<agent.AnswerFrame>): Promise<number> {
  return new Promise((resolve) => {
    stream.on('data', () => {});
    stream.on('error', (error: grpc.ServiceError) => resolve(error.code));
    stream.on('end', () => resolve(grpc.status.OK));
  });
}

// Guards against one call that nothing foresees and that ends the agent with all its other answers.
test('what is thrown while a call is served ends that call', async () => {
  const { client, close } = await startServer(
    dispatchApp.createApp({
      clock: fakeClocks.createFakeClock(),
      incarnation: 1,
      attempts: () => {
        throw new Error('broken');
      },
    }),
  );
  const ends = [
    await endOf(client.dispatch(agent.DispatchRequest.fromPartial({}))),
    await endOf(client.resume(agent.ResumeRequest.fromPartial({}))),
  ];
  assert.equal(ends, [grpc.status.INTERNAL, grpc.status.INTERNAL]);
  close();
});

test.run();
