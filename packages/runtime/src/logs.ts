/** Logging through bunyan: one line of key=value pairs for each event. */
import * as bunyan from 'bunyan';

import type * as logSinks from './log-sink.js';

/** The fields of a log line besides its event name. */
export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>;

export type Logger = {
  info: (event: string, fields?: LogFields) => void;
  warn: (event: string, fields?: LogFields) => void;
  error: (event: string, fields?: LogFields) => void;
};

export type LogLevel = 'info' | 'warn' | 'error';

/** A logger whose level can change. */
export type LeveledLogger = Logger & { setLevel: (level: LogLevel) => void };

type BunyanRecord = Record<string, unknown> & { time: Date; level: number; msg: string };

/** Fields of a bunyan record that are left out: those already at the head of the line, and those that nobody needs. */
const HIDDEN_FIELDS = new Set(['v', 'time', 'level', 'msg', 'hostname', 'pid', 'name']);
const NEEDS_QUOTES = /[\s="\\]/;

function formatValue(value: unknown): string {
  const text = String(value);
  return text === '' || NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text;
}

/** Formats one log line without the trailing newline. */
export function formatLine(record: BunyanRecord): string {
  const level = bunyan.default.nameFromLevel[record.level] ?? String(record.level);
  const head = `time=${record.time.toISOString()} level=${level} event=${formatValue(record.msg)}`;
  const pairs = Object.entries(record)
    .filter(([key, value]) => !HIDDEN_FIELDS.has(key) && value !== undefined && value !== null)
    .map(([key, value]) => `${key}=${formatValue(value)}`);
  return [head, ...pairs].join(' ');
}

export type LoggerOptions = {
  daemonId: string;
  level: LogLevel;
  sink: logSinks.LogSink;
};

export function createLogger({ daemonId, level, sink }: LoggerOptions): LeveledLogger {
  const stream = {
    write: (record: BunyanRecord) => sink.write(formatLine(record)),
  };
  const log = bunyan.default.createLogger({
    name: daemonId,
    daemonId,
    streams: [{ type: 'raw', level, stream: stream as unknown as NodeJS.WritableStream }],
  });
  const logger: LeveledLogger = {
    info: (event, fields = {}) => log.info(fields, event),
    warn: (event, fields = {}) => log.warn(fields, event),
    error: (event, fields = {}) => log.error(fields, event),
    setLevel: (newLevel) => log.level(newLevel),
  };
  sink.onResumed((lost) => {
    logger.error('log-lines-lost', lost);
  });
  return logger;
}

/** A logger that writes nothing, for tests. */
export function createSilentLogger(): Logger {
  return { info: () => {}, warn: () => {}, error: () => {} };
}
