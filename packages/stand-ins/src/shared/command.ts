/** The command line that the stand-ins share. */
import * as commander from 'commander';

/** A port from the command line. */
export function parsePort(text: string): number {
  const port = Number(text);
  if (Number.isInteger(port) && port >= 0 && port < 65_536) return port;
  throw new commander.InvalidArgumentError('a port is a whole number from 0 to 65535');
}

export function parseAmount(text: string): number {
  const amount = Number(text);
  if (Number.isFinite(amount) && amount >= 0) return amount;
  throw new commander.InvalidArgumentError('must be a number of at least 0');
}

/** A command with the options that each stand-in has; `--check` ends after the options are read. */
export function createCommand(name: string, description: string): commander.Command {
  return new commander.Command(name)
    .description(description)
    .requiredOption('--port <port>', 'where it serves', parsePort)
    .requiredOption('--control-port <port>', 'where faults are set', parsePort)
    .option('--check', 'check the options and exit')
    .exitOverride((error) => {
      process.exit(error.exitCode === 0 ? 0 : 2);
    });
}

/** Runs `stop` once at the first request to end, then exits. */
export function stopOnSignal(stop: () => Promise<unknown>): void {
  const onSignal = () => {
    void stop().finally(() => process.exit(0));
  };
  process.once('SIGTERM', onSignal);
  process.once('SIGINT', onSignal);
}
