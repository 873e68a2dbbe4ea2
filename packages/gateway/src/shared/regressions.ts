/**
 * Least squares over the latest samples: older ones fade, and the weights are drawn towards where they started, so
 * that features which hardly vary do not swing.
 */
export type Regression = {
  add: (features: readonly number[], target: number) => void;
  /** One weight for each feature; the start weighs as much as `startWeight` samples. */
  weights: (startWeight: number) => number[];
};

/** Solves a small system with a positive definite matrix; changes its arguments. */
function solve(matrix: number[][], targets: number[]): number[] {
  const size = targets.length;
  const at = (row: number, column: number): number => matrix[row]?.[column] ?? 0;
  for (let pivot = 0; pivot < size; pivot += 1) {
    for (let row = pivot + 1; row < size; row += 1) {
      const factor = at(row, pivot) / at(pivot, pivot);
      for (let column = pivot; column < size; column += 1) {
        (matrix[row] as number[])[column] = at(row, column) - factor * at(pivot, column);
      }
      targets[row] = (targets[row] ?? 0) - factor * (targets[pivot] ?? 0);
    }
  }
  const weights = new Array<number>(size).fill(0);
  for (let row = size - 1; row >= 0; row -= 1) {
    const known = weights.reduce((sum, weight, column) => sum + weight * at(row, column), 0);
    weights[row] = ((targets[row] ?? 0) - known) / at(row, row);
  }
  return weights;
}

export function createRegression(start: readonly number[], keptShare: number): Regression {
  const size = start.length;
  const products = Array.from({ length: size }, () => new Array<number>(size).fill(0));
  const sums = new Array<number>(size).fill(0);
  return {
    add: (features, target) => {
      features.forEach((feature, row) => {
        sums[row] = keptShare * (sums[row] ?? 0) + feature * target;
        const line = products[row] as number[];
        features.forEach((other, column) => {
          line[column] = keptShare * (line[column] ?? 0) + feature * other;
        });
      });
    },
    weights: (startWeight) => {
      const matrix = products.map((line, row) =>
        line.map((value, column) => value + (row === column ? startWeight : 0)),
      );
      const targets = sums.map((sum, row) => sum + startWeight * (start[row] ?? 0));
      return solve(matrix, targets);
    },
  };
}
