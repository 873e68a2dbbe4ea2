/** The operator command line. */
import * as os from 'node:os';

import * as commander from 'commander';

import * as config from './commands/config.js';
import * as explain from './commands/explain.js';
import * as losses from './commands/losses.js';
import * as fleet from './commands/fleet.js';
import * as trace from './commands/trace.js';
import * as contexts from './context.js';
import * as outputs from './output.js';

const DEFAULT_PLATFORM_URL = 'http://127.0.0.1:7000';
const DEFAULT_ENTRY_URL = 'http://127.0.0.1:8080';
const DEFAULT_HISTORY_LIMIT = 50;

const output = outputs.watchOutput(process, (error) => {
  process.exitCode = contexts.EXIT.failed;
  process.stderr.write(`standard output: ${error.message}\n`);
});

const program = new commander.Command('copperlever')
  .description('Operates copperlever: configuration, fleet and the history of requests')
  .option(
    '--platform <url>',
    "URL of the platform's object API",
    parseUrl,
    process.env.COPPERLEVER_PLATFORM ?? DEFAULT_PLATFORM_URL,
  )
  .option(
    '--entry <url>',
    'URL of an entry',
    parseUrl,
    process.env.COPPERLEVER_ENTRY ?? DEFAULT_ENTRY_URL,
  )
  .option('--operator <name>', 'operator name recorded in the audit trail', os.userInfo().username)
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
  throw new commander.InvalidArgumentError('must be a whole number of at least 0');
}

/** Runs one command in a new context and sets its status as the exit code. */
async function run(command: (context: contexts.Context) => Promise<number>): Promise<void> {
  const context = contexts.createContext(program.opts<contexts.GlobalOptions>());
  const status = await command(context);
  await context.close();
  process.exitCode = output.hasFailed() ? contexts.EXIT.failed : status;
}

const configCommand = program
  .command('config')
  .description('show and change the versioned configuration');

configCommand
  .command('show')
  .description('print the current version')
  .action(() => run(config.showConfig));

configCommand
  .command('patch')
  .description('submit a JSON merge patch; exits 3 if the patch is stale')
  .argument('<file>')
  .requiredOption(
    '--against <version>',
    'the version that the patch was written against',
    parseVersion,
  )
  .action((file: string, options: { against: number }) =>
    run((context) => config.patchConfigFromFile(context, options.against, file)),
  );

configCommand
  .command('history')
  .description('print accepted patches, newest first')
  .option('--limit <count>', 'maximum number of patches', parseVersion, DEFAULT_HISTORY_LIMIT)
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
  .description('list the served models and the upstreams where they are ready')
  .action(() => run(fleet.showModels));

program
  .command('upstreams')
  .description('list the upstreams')
  .action(() => run(fleet.showUpstreams));

program
  .command('status')
  .description('print the fleet as reported by one entry')
  .action(() => run(fleet.showStatus));

program
  .command('drain')
  .description('drain an upstream: it gets no new requests')
  .argument('<upstream>')
  .action((upstream: string) => run((context) => fleet.drainUpstream(context, upstream)));

program
  .command('trace')
  .description('print the recorded events of a request')
  .argument('<id>', 'the x-request-id header of the response')
  .action((id: string) => run((context) => trace.showTrace(context, id)));

program
  .command('explain')
  .description("print the timeline of a request from gateways' logs")
  .argument('<id>', 'the x-request-id of the request')
  .argument('[logs...]', 'log files; standard input without any')
  .action((id: string, logs: string[]) => run((context) => explain.explain(context, id, logs)));

program
  .command('losses')
  .description(
    "print refusals, first-chunk times, copy changes and upstream loads from gateways' logs",
  )
  .argument('[logs...]', 'log files; standard input without any')
  .action((logs: string[]) => run((context) => losses.showLosses(context, logs)));

// Without a command only `--check` is valid; the options have been parsed by now.
program.action((options: { check?: boolean }) => {
  if (options.check !== true) program.help({ error: true });
});

await program.parseAsync();
