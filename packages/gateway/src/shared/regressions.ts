/**
 * Least squares over the latest samples. Older samples decay, and the weights are regularized towards their initial
 * values, so that weights of features that hardly vary stay stable.
 */
export type Regression = {
  add: (features: readonly number[], target: number) => void;
  /** One weight per feature; the initial weights count as much as `priorWeight` samples. */
  weights: (priorWeight: number) => number[];
};

/** Solves a small linear system with a positive definite matrix; overwrites its arguments. */
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
    const solved = weights.reduce((sum, weight, column) => sum + weight * at(row, column), 0);
    weights[row] = ((targets[row] ?? 0) - solved) / at(row, row);
  }
  return weights;
}

export function createRegression(initialWeights: readonly number[], decay: number): Regression {
  const size = initialWeights.length;
  const products = Array.from({ length: size }, () => new Array<number>(size).fill(0));
  const sums = new Array<number>(size).fill(0);
  return {
    add: (features, target) => {
      features.forEach((feature, row) => {
        sums[row] = decay * (sums[row] ?? 0) + feature * target;
        const rowProducts = products[row] as number[];
        features.forEach((other, column) => {
          rowProducts[column] = decay * (rowProducts[column] ?? 0) + feature * other;
        });
      });
    },
    weights: (priorWeight) => {
      const matrix = products.map((rowProducts, row) =>
        rowProducts.map((value, column) => value + (row === column ? priorWeight : 0)),
      );
      const targets = sums.map((sum, row) => sum + priorWeight * (initialWeights[row] ?? 0));
      return solve(matrix, targets);
    },
  };
}
