/** Command-line parsing shared by the stand-ins. */
import * as commander from 'commander';

/** Parses a port number. */
export function parsePort(text: string): number {
  const port = Number(text);
  if (Number.isInteger(port) && port >= 0 && port < 65_536) return port;
  throw new commander.InvalidArgumentError('must be a whole number from 0 to 65535');
}

export function parseAmount(text: string): number {
  const amount = Number(text);
  if (Number.isFinite(amount) && amount >= 0) return amount;
  throw new commander.InvalidArgumentError('must be a number of at least 0');
}

/** Creates a command with the options common to all stand-ins. `--check` only checks the options. */
export function createCommand(name: string, description: string): commander.Command {
  return new commander.Command(name)
    .description(description)
    .requiredOption('--port <port>', 'port to serve on', parsePort)
    .requiredOption(
      '--control-port <port>',
      'port for setting faults and reading counters',
      parsePort,
    )
    .option('--check', 'check the options and exit')
    .exitOverride((error) => {
      process.exit(error.exitCode === 0 ? 0 : 2);
    });
}

/** Runs `stop` on SIGTERM or SIGINT, then exits with status 0. */
export function stopOnSignal(stop: () => Promise<unknown>): void {
  const onSignal = () => {
    void stop().finally(() => process.exit(0));
  };
  process.once('SIGTERM', onSignal);
  process.once('SIGINT', onSignal);
}
