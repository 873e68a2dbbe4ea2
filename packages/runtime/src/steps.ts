/** Steps of loops that go on for as long as the process runs. */
export type StepLog = {
  error: (event: 'step-failed', fields: { loop: string; reason: string }) => void;
};

/**
 * Runs one step. What it throws is logged and ends neither the loop nor the process: the bytes of one record, answer or message would
 * otherwise stop all processes that read them. The loop's own pause bounds how often it is tried again.
 */
export async function guard(
  log: StepLog,
  loop: string,
  step: () => void | Promise<void>,
): Promise<void> {
  try {
    await step();
  } catch (cause) {
    log.error('step-failed', { loop, reason: String(cause) });
  }
}
