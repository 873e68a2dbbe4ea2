// Runs every test file in a process of its own, several at once, and closes with one plain line:
// "N passed, N failed". Files that start programs, or gateways that work in real time, run one after the other at the end, alone.
import * as esbuild from 'esbuild';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';

import { externalPackages } from './external-packages.mjs';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const TEST_FOLDERS = ['packages', 'platform'];
/** Its tests run whole gateways in real time. */
const REAL_TIME_FOLDER = 'platform/';
const SLOWEST_COUNT = 10;
/** A file that takes longer is taken to hang, and ended. */
const FILE_TIMEOUT_MS = 600_000;
/** Half of the cores: files with random plays or sockets need more than one. */
const PROCESS_COUNT = Number(
  process.env.TEST_PROCESSES ?? Math.max(1, Math.floor(os.availableParallelism() / 2)),
);

function listTests() {
  return TEST_FOLDERS.flatMap((folder) =>
    fs.readdirSync(folder, { recursive: true }).map((file) => `${folder}/${file}`),
  )
    .filter((file) => file.endsWith('.test.ts') && !file.includes('node_modules'))
    .sort();
}

/** A uvu file that never calls run() passes in silence. */
function refuseSilentFiles(files) {
  const silent = files.filter((file) => !/\.run\(\)/.test(fs.readFileSync(file, 'utf8')));
  if (silent.length === 0) return;
  console.error(`These test files never call run(): ${silent.join(', ')}`);
  process.exit(1);
}

function readKnownRed() {
  if (!fs.existsSync(KNOWN_RED_FILE)) return [];
  return fs
    .readFileSync(KNOWN_RED_FILE, 'utf8')
    .split('\n')
    .filter((line) => line.trim() !== '' && !line.startsWith('#'));
}

/** Those of `files` that work in real time, or can start a process, themselves or by a module of ours. */
async function listAlone(files) {
  const built = await esbuild.build({
    entryPoints: files,
    bundle: true,
    write: false,
    metafile: true,
    outdir: 'unused',
    platform: 'node',
    format: 'esm',
    plugins: [externalPackages],
    logLevel: 'error',
  });
  const { inputs } = built.metafile;
  // Grows by the modules that import one of its members, until none is added.
  const starters = new Set(['node:child_process']);
  for (let size = 0; size < starters.size;) {
    size = starters.size;
    Object.entries(inputs)
      .filter(([, input]) => input.imports.some(({ path }) => starters.has(path)))
      .forEach(([path]) => starters.add(path));
  }
  return files.filter((file) => starters.has(file) || file.startsWith(REAL_TIME_FOLDER));
}

/** The names of the failed tests, as uvu prints them: FAIL  suite  "name". */
function listFailed(output) {
  return [...output.matchAll(/^\s*FAIL\s+.*?"(.+)"\s*$/gm)].map((match) => match[1]);
}

function escapePattern(text) {
  return text.replaceAll(/[.*+?^${}()|[\]\\]/g, String.raw`\$&`);
}

/** Runs `file` and resolves to its output, how its process ended and how long it took. */
function runFile(file) {
  const startedMs = performance.now();
  const child = childProcess.spawn(
    process.execPath,
    ['node_modules/uvu/bin.js', '.', `^${escapePattern(file)}$`, '-i', 'node_modules'],
    {
      env: { ...process.env, NODE_OPTIONS: '--import tsx', FORCE_COLOR: '0', NO_COLOR: '1' },
      stdio: ['ignore', 'pipe', 'pipe'],
      timeout: FILE_TIMEOUT_MS,
      killSignal: 'SIGKILL',
    },
  );
  let output = '';
  [child.stdout, child.stderr].forEach((stream) => {
    stream.setEncoding('utf8').on('data', (text) => {
      output += text;
    });
  });
  return new Promise((resolve) => {
    child.on('close', (status, signal) => {
      const tookMs = performance.now() - startedMs;
      resolve({ file, status, signal, tookMs, output });
    });
  });
}

/** A file whose process ended before its last test counts as one failed test of its own name. */
function readOutcome(done) {
  const { file, output, status, signal, tookMs } = done;
  const total = Number(/Total:\s+(\d+)/.exec(output)?.[1] ?? 0);
  if (total === 0) {
    console.log(`${output}\nThe file ended early: ${file}: status ${status}, signal ${signal}`);
    return { file, tookMs, status, passed: 0, total: 1, failed: [file] };
  }
  const passed = Number(/Passed:\s+(\d+)/.exec(output)?.[1] ?? 0);
  const counted = output.slice(0, output.indexOf('\n  Total:')).trimEnd();
  console.log(`${counted}\n  ${(tookMs / 1_000).toFixed(1)} s\n`);
  return { file, tookMs, status, passed, total, failed: listFailed(output) };
}

/** Runs `files`, at most `processCount` at once. */
async function runAll(files, processCount) {
  const waiting = [...files];
  const outcomes = [];
  async function work() {
    for (let file = waiting.shift(); file !== undefined; file = waiting.shift()) {
      outcomes.push(readOutcome(await runFile(file)));
    }
  }
  await Promise.all(Array.from({ length: processCount }, work));
  return outcomes;
}

const allFiles = listTests();
refuseSilentFiles(allFiles);
const namePattern = new RegExp(`${process.argv[2] ?? '.*'}\\.test\\.ts$`);
const files = allFiles.filter((file) => namePattern.test(file));
const alone = await listAlone(files);
const besideOthers = files.filter((file) => !alone.includes(file));
// Random plays take longest: begun first, they hold nobody up at the end.
const [plays, others] = [true, false].map((isPlay) =>
  besideOthers.filter((file) => file.endsWith('-plays.test.ts') === isPlay),
);
const outcomes = [
  ...(await runAll([...plays, ...others], PROCESS_COUNT)),
  ...(await runAll(alone, 1)),
];

const slowest = outcomes.toSorted((a, b) => b.tookMs - a.tookMs).slice(0, SLOWEST_COUNT);
slowest.forEach(({ file, tookMs }) => console.log(`${(tookMs / 1_000).toFixed(1)} s  ${file}`));
console.log(`step took ${Math.round(performance.now() / 1_000)} s: ${files.length} test files`);
const knownRed = readKnownRed();
const isKnown = (name) => knownRed.some((line) => line.includes(`"${name}"`));
/** Every test passed, or exactly known ones failed. */
const isAllowed = ({ status, passed, total, failed }) =>
  total - passed === failed.length && failed.every(isKnown) && (status === 0 || failed.length > 0);
const passed = outcomes.reduce((sum, outcome) => sum + outcome.passed, 0);
const total = outcomes.reduce((sum, outcome) => sum + outcome.total, 0);
knownRed.forEach((line) => console.log(`known red: ${line}`));
console.log(`${passed} passed, ${total - passed} failed`);
process.exit(total > 0 && outcomes.every(isAllowed) ? 0 : 1);
