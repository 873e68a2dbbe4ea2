/** Standard output of the command line: its reader may be gone, as behind `| head -1`, or its disk full. */
export type Output = {
  /** Whether something could not be written that somebody waits for. */
  hasFailed: () => boolean;
};

type OutputStream = { on: (event: 'error', listener: (error: Error) => void) => unknown };

/** Without listeners either error would end the command by a stack trace, perhaps in the middle of a change. */
export function watchOutput(
  { stdout, stderr }: { stdout: OutputStream; stderr: OutputStream },
  onFailed: (error: Error) => void,
): Output {
  let isFailed = false;
  stderr.on('error', () => {});
  stdout.on('error', (error: NodeJS.ErrnoException) => {
    // The reader has all it wants.
    if (error.code === 'EPIPE' || isFailed) return;
    isFailed = true;
    onFailed(error);
  });
  return { hasFailed: () => isFailed };
}
