/** Servers of our own processes for each other. */
import * as grpc from '@grpc/grpc-js';

/** Resolves to `server` once it listens at `address`; one that could not is not to be used again. */
export function listen(server: grpc.Server, address: string): Promise<grpc.Server> {
  return new Promise((resolve, reject) => {
    server.bindAsync(address, grpc.ServerCredentials.createInsecure(), (error) => {
      if (error === null) resolve(server);
      else reject(error);
    });
  });
}
