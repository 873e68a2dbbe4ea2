/** Command-line parsing and signal handling shared by all daemons. */
import * as commander from 'commander';
import type * as zod from 'zod';

import * as settingsModule from './settings.js';

export type DaemonCommand = {
  name: string;
  description: string;
  /** Environment variable that may give the settings file instead of the option. */
  settingsVariable?: string;
};

type Options = { settings: string; check?: boolean };

/**
 * Reads and checks the settings file given by `--settings FILE`; with `--check` the process then exits. Invalid settings
 * end the process with status 2 and one line for each error: file, line, field, reason.
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

/** Runs `stop` on each SIGTERM and SIGINT. */
export function onStopSignal(stop: () => void): void {
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

/** Runs `reload` on SIGHUP, which reports a changed settings file. Without a handler SIGHUP would end the process. */
export function onReload(reload: () => void): void {
  process.on('SIGHUP', reload);
}
