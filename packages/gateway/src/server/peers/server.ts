/** Listens for other gateways. */
import { servers } from '@copperlever/protocol';
import * as grpc from '@grpc/grpc-js';

import * as peerLinks from './peer-link.js';

export function listen(address: string, handlers: peerLinks.PeerHandlers): Promise<grpc.Server> {
  const server = new grpc.Server();
  peerLinks.addPeerService(server, handlers);
  return servers.listen(server, address);
}
