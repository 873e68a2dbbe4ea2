/** A configuration as the operator writes it, with what the cases have in common. */

export const HOST = 'desk.example';

export function configuration({ routes, services }) {
  return {
    version: 4,
    routes: routes.map((route) => ({
      host: HOST,
      targetLatencyMs: 386,
      priority: 2,
      maxAttempts: 1,
      timeoutMs: 4_000,
      ...route,
    })),
    services: services.map((service) => ({ maxConns: 110, healthPath: '/healthz', ...service })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 5_000,
      idleTimeoutMs: 15_000,
    },
  };
}
