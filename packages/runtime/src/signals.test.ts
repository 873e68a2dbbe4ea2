import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as heldSignals from './held-signals.js';
import * as results from './results.js';
import * as settingsModule from './settings.js';
import * as signals from './signals.js';

const test = suite('signals of a service');

type Settings = { logLevel: string; port: number };
type Read = results.Result<Settings, settingsModule.SettingsError[]>;

const SETTINGS: Settings = { logLevel: 'info', port: 1 };
const UNREADABLE: settingsModule.SettingsError = {
  kind: 'settings-invalid',
  file: 'f',
  line: 2,
  field: 'port',
  reason: 'not a number',
};

function createFixture() {
  const listeners = new Map<string, () => void>();
  const lines: string[] = [];
  let stopCount = 0;
  const levels: string[] = [];
  let read: Read = results.Ok(SETTINGS);
  const held = heldSignals.holdSignals({ on: (name, listener) => listeners.set(name, listener) });
  const write = (event: string, fields = {}) => lines.push(JSON.stringify({ event, ...fields }));
  return {
    lines,
    stopCount: () => stopCount,
    levels,
    signal: (name: string) => listeners.get(name)?.(),
    say: (next: Read) => {
      read = next;
    },
    start: () =>
      signals.handleSignals(held, {
        log: { info: write, warn: write, error: write },
        settings: SETTINGS,
        readSettings: () => read,
        live: { logLevel: (level) => levels.push(level) },
        stop: () => {
          stopCount += 1;
        },
        isStopping: () => stopCount > 0,
      }),
  };
}

function received(fields: object): string {
  return JSON.stringify({ event: 'signal-received', ...fields });
}

// Guards against a stop that is asked for during the start and forgotten, and one that a later signal cuts short.
test('signals that come while the service starts are handled in order once it has started', () => {
  const fixture = createFixture();
  ['SIGHUP', 'SIGHUP', 'SIGUSR1', 'SIGINT'].forEach(fixture.signal);
  assert.equal(fixture.lines, []);
  fixture.start();
  ['SIGINT', 'SIGHUP', 'SIGQUIT'].forEach(fixture.signal);
  assert.equal(fixture.lines, [
    received({ signal: 'SIGHUP', outcome: 'settings-unchanged' }),
    received({ signal: 'SIGUSR1', outcome: 'ignored' }),
    received({ signal: 'SIGINT', outcome: 'stopping' }),
    received({ signal: 'SIGINT', outcome: 'stopping-already' }),
    received({ signal: 'SIGHUP', outcome: 'stopping-already' }),
    received({ signal: 'SIGQUIT', outcome: 'stopping-already' }),
  ]);
  assert.ok(fixture.stopCount() > 0);
});

// Guards against a broken settings file that takes effect in part, and a setting that is said to be in force and isn't.
test('settings are put in force as far as they can be, and a bad file changes nothing', () => {
  const fixture = createFixture();
  fixture.start();
  fixture.say(results.Err([UNREADABLE]));
  fixture.signal('SIGHUP');
  fixture.say(results.Ok({ logLevel: 'warn', port: 2 }));
  fixture.signal('SIGHUP');
  fixture.signal('SIGHUP');
  const signal = 'SIGHUP';
  const outcome = 'settings-read';
  assert.equal(fixture.lines, [
    received({
      signal,
      outcome: 'settings-rejected',
      reason: 'f:2: port: not a number',
      errorCount: 1,
    }),
    received({ signal, outcome, inForceNow: 'logLevel', inForceFromNextStart: 'port' }),
    received({ signal, outcome, inForceFromNextStart: 'port' }),
  ]);
  assert.equal(fixture.levels, ['warn']);
});

test.run();
