/** The value, or the bound that it is beyond. */
export function clamp(value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}
