/** What a running daemon does on signals: each leaves one line with what came of it. */
import type * as heldSignals from './held-signals.js';
import type * as logs from './logs.js';
import type * as results from './results.js';
import * as settingsModule from './settings.js';

/** Settings that can change while the process runs, and what puts a new value in force. */
export type LiveSettings<Settings> = {
  [Field in keyof Settings]?: (value: Settings[Field]) => void;
};

export type Service<Settings> = {
  log: logs.Logger;
  /** Those of the start. */
  settings: Settings;
  /** Reads the settings file again. */
  readSettings: () => results.Result<Settings, settingsModule.SettingsError[]>;
  live: LiveSettings<Settings>;
  /** Begins a planned stop, whose time counts from `sinceMs`, and at whose end the process ends. */
  stop: (sinceMs: number) => void;
  isStopping: () => boolean;
};

function isSame(one: unknown, other: unknown): boolean {
  return JSON.stringify(one) === JSON.stringify(other);
}

function listOf(fields: readonly PropertyKey[]): string | undefined {
  return fields.length === 0 ? undefined : fields.map(String).join(',');
}

/** Handles the signals of a service that has started, those kept since its first statement included. */
export function handleSignals<Settings extends object>(
  held: heldSignals.HeldSignals,
  service: Service<Settings>,
): void {
  const { log } = service;
  let inForce = service.settings;

  function putInForce<Field extends keyof Settings>(field: Field, value: Settings[Field]): void {
    service.live[field]?.(value);
    inForce = { ...inForce, [field]: value };
  }

  function reload(signal: string): void {
    const read = service.readSettings();
    if (read.err) {
      const [first] = read.val;
      const reason = first === undefined ? undefined : settingsModule.describeError(first);
      const outcome = 'settings-rejected';
      log.error('signal-received', { signal, outcome, reason, errorCount: read.val.length });
      return;
    }
    const fields = Object.keys({ ...inForce, ...read.val }) as (keyof Settings)[];
    const changed = fields.filter((field) => !isSame(inForce[field], read.val[field]));
    const applied = changed.filter((field) => service.live[field] !== undefined);
    const waiting = changed.filter((field) => service.live[field] === undefined);
    log.info('signal-received', {
      signal,
      outcome: changed.length === 0 ? 'settings-unchanged' : 'settings-read',
      inForceNow: listOf(applied),
      inForceFromNextStart: listOf(waiting),
    });
    // Behind the line, which a new level could leave out.
    applied.forEach((field) => putInForce(field, read.val[field]));
  }

  held.takeOver(({ name, receivedAtMs }) => {
    switch (name) {
      case 'SIGTERM':
      case 'SIGINT':
      case 'SIGQUIT':
        log.info('signal-received', {
          signal: name,
          outcome: service.isStopping() ? 'stopping-already' : 'stopping',
        });
        service.stop(receivedAtMs);
        return;
      case 'SIGHUP':
        if (service.isStopping())
          log.info('signal-received', { signal: name, outcome: 'stopping-already' });
        else reload(name);
        return;
      // Their defaults would open the debugger's port, and end the process.
      case 'SIGUSR1':
      case 'SIGUSR2':
        log.info('signal-received', { signal: name, outcome: 'ignored' });
    }
  });
}
