/** Command-line parsing and signal handling shared by all daemons. */
import * as commander from 'commander';
import type * as zod from 'zod';

import type * as heldSignals from './held-signals.js';
import type * as processFaults from './process-faults.js';
import type * as results from './results.js';
import * as settingsModule from './settings.js';
import * as signals from './signals.js';

export type DaemonCommand = {
  name: string;
  description: string;
  /** Environment variable that may give the settings file instead of the option. */
  settingsVariable?: string;
};

type Options = { settings: string; check?: boolean };

export type SettingsFile<Settings> = {
  /** Those of the start. */
  settings: Settings;
  /** Reads the file again. */
  read: () => results.Result<Settings, settingsModule.SettingsError[]>;
};

/**
 * Reads and checks the settings file given by `--settings FILE`; with `--check` the process then exits. Invalid settings
 * end the process with status 2 and one line for each error (file, line, field, reason), once they have stayed so for a moment.
 */
export async function readSettings<Settings>(
  command: DaemonCommand,
  schema: zod.ZodType<Settings>,
  argv: readonly string[] = process.argv,
): Promise<SettingsFile<Settings>> {
  const settingsOption = new commander.Option(
    '--settings <file>',
    'settings file: JSON with comments',
  ).makeOptionMandatory();
  if (command.settingsVariable !== undefined) settingsOption.env(command.settingsVariable);
  const program = new commander.Command(command.name)
    .description(command.description)
    .addOption(settingsOption)
    .option('--check', 'check the settings and exit')
    .exitOverride((error) => {
      process.exit(error.exitCode === 0 ? 0 : settingsModule.BAD_SETTINGS_EXIT_STATUS);
    })
    .parse([...argv]);
  const options = program.opts<Options>();
  const read = () => settingsModule.loadSettings(options.settings, schema);
  const loaded = await settingsModule.loadWrittenSettings(options.settings, schema);
  if (loaded.err) {
    const lines = loaded.val.map(settingsModule.describeError);
    process.stderr.write(`${lines.join('\n')}\n`);
    process.exit(settingsModule.BAD_SETTINGS_EXIT_STATUS);
  }
  if (options.check === true) {
    process.stdout.write(`${options.settings}: ok\n`);
    process.exit(0);
  }
  return { settings: loaded.val, read };
}

export type Service<Settings> = Pick<signals.Service<Settings>, 'log' | 'live'> & {
  processEnd: Pick<processFaults.ProcessEnd, 'stop' | 'isStopping'>;
};

/** Handles the signals of a service that has started: the only way in which one of them ends it is its planned stop. */
export function handleSignals<Settings extends object>(
  held: heldSignals.HeldSignals,
  file: SettingsFile<Settings>,
  service: Service<Settings>,
): void {
  const { log, live, processEnd } = service;
  signals.handleSignals(held, {
    log,
    live,
    settings: file.settings,
    readSettings: file.read,
    stop: processEnd.stop,
    isStopping: processEnd.isStopping,
  });
}
