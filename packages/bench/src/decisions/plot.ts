/** Draws attainment against offered load, one line for each policy, as an SVG. */
import * as fs from 'node:fs/promises';

import * as echarts from 'echarts';

import * as runs from './runs.js';
import type * as benchTypes from './types.js';

const OFFERED = [0.4, 0.6, 0.8, 1, 1.2, 1.5, 2];
const WIDTH_PX = 900;
const HEIGHT_PX = 420;

type Curve = { policy: benchTypes.PolicyName; all: number[]; top: number[] };

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Runs steady demand at each offered load; the mean over `seeds`. */
function sweep(
  size: benchTypes.SizeName,
  policies: readonly benchTypes.PolicyName[],
  seeds: readonly number[],
): Curve[] {
  const curves = policies.map((policy): Curve => ({ policy, all: [], top: [] }));
  OFFERED.forEach((offered) => {
    const results = seeds.map((seed) =>
      runs.measureSeed({ size, load: 'saturation', policies, seed, offered }),
    );
    curves.forEach((curve) => {
      const outcomes = results.flatMap((result) => result.get(curve.policy) ?? []);
      curve.all.push(mean(outcomes.map((outcome) => outcome.attainment)));
      curve.top.push(mean(outcomes.map((outcome) => outcome.topClassAttainment)));
    });
  });
  return curves;
}

function createAxes(gridIndex: number, label: string): object[] {
  const name = `${label}: share answered in time`;
  return [{ gridIndex, type: 'value', min: 0, max: 1, name, nameLocation: 'middle', nameGap: 34 }];
}

function toSeries(curves: readonly Curve[], part: 'all' | 'top', gridIndex: number): object[] {
  return curves.map((curve) => ({
    name: curve.policy,
    type: 'line',
    xAxisIndex: gridIndex,
    yAxisIndex: gridIndex,
    data: curve[part].map((value, index) => [OFFERED[index], value]),
  }));
}

function draw(curves: readonly Curve[], title: string): string {
  const chart = echarts.init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: WIDTH_PX,
    height: HEIGHT_PX,
  });
  const xAxis = { type: 'value', min: OFFERED[0], max: OFFERED.at(-1), nameLocation: 'middle' };
  const xName = { name: 'offered work / all slots', nameGap: 28 };
  chart.setOption({
    animation: false,
    title: { text: title, left: 'center' },
    legend: { top: 30 },
    grid: [
      { left: 60, top: 70, bottom: 50, width: '38%' },
      { right: 30, top: 70, bottom: 50, width: '38%' },
    ],
    xAxis: [0, 1].map((gridIndex) => ({ ...xAxis, ...xName, gridIndex })),
    yAxis: [...createAxes(0, 'top class'), ...createAxes(1, 'all classes')],
    series: [...toSeries(curves, 'top', 0), ...toSeries(curves, 'all', 1)],
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}

/** Writes the picture to `file`. */
export async function writePlot(
  file: string,
  size: benchTypes.SizeName,
  policies: readonly benchTypes.PolicyName[],
  seeds: readonly number[],
): Promise<void> {
  const title = `${size}: attainment against offered load, seeds ${seeds[0]} to ${seeds.at(-1)}`;
  await fs.writeFile(file, `${draw(sweep(size, policies, seeds), title)}\n`);
}
