/** The operators' command line. */
import * as os from 'node:os';

import * as commander from 'commander';

import * as config from './commands/config.js';
import * as explain from './commands/explain.js';
import * as losses from './commands/losses.js';
import * as fleet from './commands/fleet.js';
import * as trace from './commands/trace.js';
import * as contexts from './context.js';

const DEFAULT_PLATFORM_URL = 'http://127.0.0.1:7000';
const DEFAULT_ENTRY_URL = 'http://127.0.0.1:8080';
const DEFAULT_HISTORY_LIMIT = 50;

const program = new commander.Command('copperlever')
  .description('Operates copperlever: configuration, fleet, and what became of a request')
  .option(
    '--platform <url>',
    "the platform's object API",
    parseUrl,
    process.env.COPPERLEVER_PLATFORM ?? DEFAULT_PLATFORM_URL,
  )
  .option('--entry <url>', 'an entry', parseUrl, process.env.COPPERLEVER_ENTRY ?? DEFAULT_ENTRY_URL)
  .option('--operator <name>', 'who makes a change, for the audit trail', os.userInfo().username)
  .option('--json', 'print JSON')
  .option('--check', 'check the options and exit')
  .exitOverride((error) => {
    process.exit(error.exitCode === 0 ? contexts.EXIT.ok : contexts.EXIT.badInput);
  });

function parseUrl(text: string): string {
  if (URL.canParse(text)) return text;
  throw new commander.InvalidArgumentError('must be a URL, such as http://127.0.0.1:8080');
}

function parseVersion(text: string): number {
  const version = Number(text);
  if (Number.isInteger(version) && version >= 0) return version;
  throw new commander.InvalidArgumentError('a version is a whole number of at least 0');
}

/** Runs one command in its context and ends with its status. */
async function run(command: (context: contexts.Context) => Promise<number>): Promise<void> {
  const context = contexts.createContext(program.opts<contexts.GlobalOptions>());
  const status = await command(context);
  await context.close();
  process.exitCode = status;
}

const configCommand = program.command('config').description('the numbered configuration');

configCommand
  .command('show')
  .description('print the present version')
  .action(() => run(config.showConfig));

configCommand
  .command('patch')
  .description('submit a JSON merge patch; a stale one exits 3')
  .argument('<file>')
  .requiredOption('--against <version>', 'the version it was written against', parseVersion)
  .action((file: string, options: { against: number }) =>
    run((context) => config.patchConfigFromFile(context, options.against, file)),
  );

configCommand
  .command('history')
  .description('print the accepted patches, the newest first')
  .option('--limit <count>', 'how many', parseVersion, DEFAULT_HISTORY_LIMIT)
  .action((options: { limit: number }) =>
    run((context) => config.showHistory(context, options.limit)),
  );

configCommand
  .command('diff')
  .description('print the fields that differ between two versions')
  .argument('<from>', 'version', parseVersion)
  .argument('<to>', 'version', parseVersion)
  .action((from: number, to: number) => run((context) => config.showDifference(context, from, to)));

program
  .command('models')
  .description('list the served models and where they are ready')
  .action(() => run(fleet.showModels));

program
  .command('upstreams')
  .description('list the upstreams')
  .action(() => run(fleet.showUpstreams));

program
  .command('status')
  .description('print the fleet as one entry sees it')
  .action(() => run(fleet.showStatus));

program
  .command('drain')
  .description('give an upstream no new work')
  .argument('<upstream>')
  .action((upstream: string) => run((context) => fleet.drainUpstream(context, upstream)));

program
  .command('trace')
  .description('print what became of a request')
  .argument('<id>', 'the x-request-id of its answer')
  .action((id: string) => run((context) => trace.showTrace(context, id)));

program
  .command('explain')
  .description("tell a request's story from gateways' logs")
  .argument('<id>', 'its x-request-id')
  .argument('[logs...]', 'log files; standard input without any')
  .action((id: string, logs: string[]) => run((context) => explain.explain(context, id, logs)));

program
  .command('losses')
  .description("show from gateways' logs what was refused, late and waited for, and why")
  .argument('[logs...]', 'log files; standard input without any')
  .action((logs: string[]) => run((context) => losses.showLosses(context, logs)));

// Without a command there is only `--check`: the options have been read by now.
program.action((options: { check?: boolean }) => {
  if (options.check !== true) program.help({ error: true });
});

await program.parseAsync();
