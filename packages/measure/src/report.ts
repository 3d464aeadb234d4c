/** `npm run report`: renders the last measures to one self-contained HTML page with plots. */
import * as fs from 'node:fs';
import type * as faults from './faults/faults';
import type * as mixedScenario from './mixed/mixedScenario';
import type * as settings from './settings/settings';
import type * as slopes from './slopes/slopes';

const FOLDER = 'measures';

const PAGE = `${FOLDER}/report.html`;

const SIZE = { width: 900, height: 380 };

function read<T>(name: string): T | undefined {
  const file = `${FOLDER}/${name}.json`;
  return fs.existsSync(file) ? (JSON.parse(fs.readFileSync(file, 'utf8')) as T) : undefined;
}

/** What is used of the charting library; its own types don't resolve from CommonJS. */
interface Library {
  init(
    dom: null,
    theme: null,
    options: object,
  ): { setOption(option: object): void; renderToSVGString(): string; dispose(): void };
}

/** Draws one plot as SVG. */
type Draw = (option: object) => string;

function drawWith(library: Library): Draw {
  return (option) => {
    const drawn = library.init(null, null, { renderer: 'svg', ssr: true, ...SIZE });
    drawn.setOption({ animation: false, legend: { top: 24 }, grid: { top: 70 }, ...option });
    const svg = drawn.renderToSVGString();
    drawn.dispose();
    return svg;
  };
}

type Kind = 'bar' | 'line';

interface Series {
  name: string;
  values: number[];
}

function chart(
  draw: Draw,
  title: string,
  unit: string,
  categories: string[],
  series: Series[],
  kind: Kind,
  scale: 'value' | 'log',
): string {
  return draw({
    title: { text: title, textStyle: { fontSize: 14 } },
    xAxis: { type: 'category', data: categories, axisLabel: { rotate: 20 } },
    yAxis: { type: scale, name: unit },
    series: series.map(({ name, values }) => ({ name, type: kind, data: values })),
  });
}

function ttftPlot(draw: Draw, result: mixedScenario.Result): string {
  const buckets = Object.keys(result.ttft.product ?? {});
  const series = Object.entries(result.ttft).map(([name, byBucket]) => {
    return { name, values: buckets.map((bucket) => byBucket[bucket]?.p95 ?? 0) };
  });
  return chart(
    draw,
    'p95 time to first token by prompt length',
    'ms',
    buckets,
    series,
    'line',
    'log',
  );
}

function briefPlot(draw: Draw, title: string, table: mixedScenario.Result['byLoad']): string {
  const categories = Object.keys(table);
  const policies = [...new Set(categories.flatMap((each) => Object.keys(table[each] ?? {})))];
  const series = policies.map((name) => {
    return { name, values: categories.map((each) => table[each]?.[name]?.shortSlowdownP99 ?? 0) };
  });
  return chart(draw, title, 'ratio', categories, series, 'bar', 'log');
}

function recoveryPlot(draw: Draw, { recoverySeconds }: faults.Result): string {
  const names = Object.keys(recoverySeconds);
  const series = [{ name: 'recovery', values: names.map((name) => recoverySeconds[name] ?? 0) }];
  return chart(draw, 'recovery after each fault', 's', names, series, 'bar', 'value');
}

function slopePlot(draw: Draw, { points }: slopes.Result): string {
  const idle = points.filter(({ targets, changesPerSecond }) => targets + changesPerSecond === 0);
  const categories = idle.map(({ daemons }) => String(daemons));
  const series = [
    { name: 'mean daemon', values: idle.map(({ bytesPerSecond }) => bytesPerSecond) },
    { name: 'busiest', values: idle.map(({ leaderBytesPerSecond }) => leaderBytesPerSecond) },
  ];
  return chart(
    draw,
    'control traffic by number of daemons',
    'B/s',
    categories,
    series,
    'line',
    'value',
  );
}

function escaped(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
}

function section(name: string, plots: string[], content: unknown): string {
  const figures = escaped(JSON.stringify(content, null, 1));
  return `<h2>${name}</h2>${plots.join('')}<details><summary>figures</summary><pre>${figures}</pre></details>`;
}

function sections(draw: Draw): string[] {
  const list: string[] = [];
  const mixed = read<mixedScenario.Result>('mixed');
  if (mixed !== undefined) {
    const plots = [
      ttftPlot(draw, mixed),
      briefPlot(draw, 'short slowdown p99 by load', mixed.byLoad),
      briefPlot(draw, 'short slowdown p99 with other parameters', mixed.sensitivity),
    ];
    list.push(section('mixed', plots, mixed));
  }
  const fault = read<faults.Result>('faults');
  if (fault !== undefined) list.push(section('faults', [recoveryPlot(draw, fault)], fault));
  const setting = read<settings.Result>('settings');
  if (setting !== undefined) list.push(section('settings', [], setting));
  const slope = read<slopes.Result>('slopes');
  if (slope !== undefined) list.push(section('slopes', [slopePlot(draw, slope)], slope));
  ['overhead', 'ledger'].forEach((name) => {
    const content = read<unknown>(name);
    if (content !== undefined) list.push(section(name, [], content));
  });
  return list;
}

export async function main(): Promise<void> {
  const found = sections(drawWith(await import('echarts')));
  if (found.length === 0) {
    process.stderr.write('report: no measures yet; run `npm run measure -- mixed` first\n');
    process.exitCode = 2;
    return;
  }
  const style = 'body{font-family:sans-serif;max-width:960px;margin:auto}pre{overflow:auto}';
  const page = `<!doctype html><meta charset="utf-8"><title>celerydrift measures</title><style>${style}</style><h1>celerydrift measures</h1>${found.join('')}`;
  fs.writeFileSync(PAGE, page);
  process.stdout.write(`${PAGE}\n`);
}
