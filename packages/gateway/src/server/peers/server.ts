/** Listens for other gateways. */
import * as grpc from '@grpc/grpc-js';

import * as peerLinks from './peer-link.js';

export async function listen(
  address: string,
  handlers: peerLinks.PeerHandlers,
): Promise<grpc.Server> {
  const server = new grpc.Server();
  peerLinks.addPeerService(server, handlers);
  await new Promise<void>((resolve, reject) => {
    server.bindAsync(address, grpc.ServerCredentials.createInsecure(), (error) => {
      if (error === null) resolve();
      else reject(error);
    });
  });
  return server;
}
