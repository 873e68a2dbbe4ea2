/** The stand-in platform as a process of the bench. */
import * as childProcess from 'node:child_process';

import * as undici from 'undici';

export type Platform = {
  port: number;
  /** Calls since its start, by method and first part of the path. */
  readCalls: () => Promise<Record<string, number>>;
  setDown: (isDown: boolean) => Promise<void>;
  stop: () => void;
};

const START_TIMEOUT_MS = 10_000;
const START_POLL_MS = 100;

export async function startPlatform(port: number, controlPort: number): Promise<Platform> {
  const controlUrl = `http://127.0.0.1:${controlPort}`;
  const child = childProcess.spawn(
    process.execPath,
    ['dist/stand-in-platform.js', '--port', String(port), '--control-port', String(controlPort)],
    { stdio: ['ignore', 'ignore', 'inherit'] },
  );

  async function readCounters(): Promise<{ calls: Record<string, number> }> {
    const answer = await undici.request(`${controlUrl}/counters`);
    return (await answer.body.json()) as { calls: Record<string, number> };
  }

  const giveUpAtMs = Date.now() + START_TIMEOUT_MS;
  for (;;) {
    const isUp = await readCounters().then(
      () => true,
      () => false,
    );
    if (isUp) break;
    if (Date.now() > giveUpAtMs) {
      child.kill();
      throw new Error('the stand-in platform did not start');
    }
    await new Promise((resolve) => {
      setTimeout(resolve, START_POLL_MS);
    });
  }

  return {
    port,
    readCalls: async () => (await readCounters()).calls,
    setDown: async (isDown) => {
      const answer = isDown
        ? await undici.request(`${controlUrl}/faults`, {
            method: 'POST',
            headers: { 'content-type': 'application/json' },
            body: JSON.stringify({ name: 'down', value: true }),
          })
        : await undici.request(`${controlUrl}/faults`, { method: 'DELETE' });
      await answer.body.dump();
    },
    stop: () => {
      child.kill();
    },
  };
}
