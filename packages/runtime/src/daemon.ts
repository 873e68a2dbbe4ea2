/** The command line and the signals that every daemon shares. */
import * as commander from 'commander';
import type * as zod from 'zod';

import * as settingsModule from './settings.js';

export type DaemonCommand = {
  name: string;
  description: string;
  /** An environment variable that may name the settings file instead of the option. */
  settingsVariable?: string;
};

type Options = { settings: string; check?: boolean };

/**
 * Reads `--settings FILE` and checks it; `--check` ends there. Bad settings end the process with
 * status 2 and a line for each error: file, line, field, reason.
 */
export function readSettings<Settings>(
  command: DaemonCommand,
  schema: zod.ZodType<Settings>,
  argv: readonly string[] = process.argv,
): Settings {
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
  const loaded = settingsModule.loadSettings(options.settings, schema);
  if (loaded.err) {
    const lines = loaded.val.map(settingsModule.describeError);
    process.stderr.write(`${lines.join('\n')}\n`);
    process.exit(settingsModule.BAD_SETTINGS_EXIT_STATUS);
  }
  if (options.check === true) {
    process.stdout.write(`${options.settings}: ok\n`);
    process.exit(0);
  }
  return loaded.val;
}

/** Runs `stop` at the first request to end the process, then exits with status 0. */
export function onPlannedStop(stop: () => Promise<void>): void {
  let isStopping = false;
  const begin = () => {
    if (isStopping) return;
    isStopping = true;
    void stop().finally(() => process.exit(0));
  };
  process.on('SIGTERM', begin);
  process.on('SIGINT', begin);
}

/** Runs `reload` when the settings file is said to have changed; without it the signal ends a process. */
export function onReload(reload: () => void): void {
  process.on('SIGHUP', reload);
}
