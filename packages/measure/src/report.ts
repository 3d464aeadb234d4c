/** `npm run report`: renders the latest results as one self-contained HTML page with charts. */
import * as fs from 'node:fs';
import type * as faults from './faults/faults';
import type * as mixedScenario from './mixed/mixedScenario';
import type * as settings from './settings/settings';
import type * as slopes from './slopes/slopes';

const RESULTS_FOLDER = 'measures';

const PAGE_FILE = `${RESULTS_FOLDER}/report.html`;

const CHART_SIZE = { width: 900, height: 380 };

function readResult<T>(name: string): T | undefined {
  const file = `${RESULTS_FOLDER}/${name}.json`;
  return fs.existsSync(file) ? (JSON.parse(fs.readFileSync(file, 'utf8')) as T) : undefined;
}

/** The part of the charting library in use; its own types don't resolve from CommonJS. */
interface ChartLibrary {
  init(
    dom: null,
    theme: null,
    options: object,
  ): { setOption(option: object): void; renderToSVGString(): string; dispose(): void };
}

/** Renders a chart with the given options as SVG. */
type RenderSvg = (option: object) => string;

function createRenderer(library: ChartLibrary): RenderSvg {
  return (option) => {
    const chart = library.init(null, null, { renderer: 'svg', ssr: true, ...CHART_SIZE });
    chart.setOption({ animation: false, legend: { top: 24 }, grid: { top: 70 }, ...option });
    const svg = chart.renderToSVGString();
    chart.dispose();
    return svg;
  };
}

type ChartType = 'bar' | 'line';

interface Series {
  name: string;
  values: number[];
}

function renderChart(
  renderSvg: RenderSvg,
  title: string,
  unit: string,
  categories: string[],
  series: Series[],
  chartType: ChartType,
  scale: 'value' | 'log',
): string {
  return renderSvg({
    title: { text: title, textStyle: { fontSize: 14 } },
    xAxis: { type: 'category', data: categories, axisLabel: { rotate: 20 } },
    yAxis: { type: scale, name: unit },
    series: series.map(({ name, values }) => ({ name, type: chartType, data: values })),
  });
}

function renderTtft(renderSvg: RenderSvg, result: mixedScenario.Result): string {
  const buckets = Object.keys(result.ttft.product ?? {});
  const series = Object.entries(result.ttft).map(([name, byBucket]) => {
    return { name, values: buckets.map((bucket) => byBucket[bucket]?.p95 ?? 0) };
  });
  return renderChart(
    renderSvg,
    'p95 time to first token by prompt length',
    'ms',
    buckets,
    series,
    'line',
    'log',
  );
}

function renderSlowdown(
  renderSvg: RenderSvg,
  title: string,
  table: mixedScenario.Result['byLoad'],
): string {
  const categories = Object.keys(table);
  const policies = [...new Set(categories.flatMap((each) => Object.keys(table[each] ?? {})))];
  const series = policies.map((name) => {
    return { name, values: categories.map((each) => table[each]?.[name]?.shortSlowdownP99 ?? 0) };
  });
  return renderChart(renderSvg, title, 'ratio', categories, series, 'bar', 'log');
}

function renderRecovery(renderSvg: RenderSvg, { recoverySeconds }: faults.Result): string {
  const names = Object.keys(recoverySeconds);
  const series = [{ name: 'recovery', values: names.map((name) => recoverySeconds[name] ?? 0) }];
  return renderChart(renderSvg, 'recovery after each fault', 's', names, series, 'bar', 'value');
}

function renderTraffic(renderSvg: RenderSvg, { points }: slopes.Result): string {
  const idle = points.filter(({ targets, changesPerSecond }) => targets + changesPerSecond === 0);
  const categories = idle.map(({ daemons }) => String(daemons));
  const series = [
    { name: 'mean daemon', values: idle.map(({ bytesPerSecond }) => bytesPerSecond) },
    { name: 'busiest', values: idle.map(({ leaderBytesPerSecond }) => leaderBytesPerSecond) },
  ];
  return renderChart(
    renderSvg,
    'control traffic by number of daemons',
    'B/s',
    categories,
    series,
    'line',
    'value',
  );
}

function escapeHtml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
}

function renderSection(name: string, charts: string[], content: unknown): string {
  const figures = escapeHtml(JSON.stringify(content, null, 1));
  return `<h2>${name}</h2>${charts.join('')}<details><summary>figures</summary><pre>${figures}</pre></details>`;
}

function renderSections(renderSvg: RenderSvg): string[] {
  const rendered: string[] = [];
  const mixed = readResult<mixedScenario.Result>('mixed');
  if (mixed !== undefined) {
    const charts = [
      renderTtft(renderSvg, mixed),
      renderSlowdown(renderSvg, 'short slowdown p99 by load', mixed.byLoad),
      renderSlowdown(renderSvg, 'short slowdown p99 with other parameters', mixed.sensitivity),
    ];
    rendered.push(renderSection('mixed', charts, mixed));
  }
  const faultResult = readResult<faults.Result>('faults');
  if (faultResult !== undefined)
    rendered.push(renderSection('faults', [renderRecovery(renderSvg, faultResult)], faultResult));
  const settingsResult = readResult<settings.Result>('settings');
  if (settingsResult !== undefined) rendered.push(renderSection('settings', [], settingsResult));
  const slopesResult = readResult<slopes.Result>('slopes');
  if (slopesResult !== undefined)
    rendered.push(renderSection('slopes', [renderTraffic(renderSvg, slopesResult)], slopesResult));
  ['overhead', 'ledger'].forEach((name) => {
    const content = readResult<unknown>(name);
    if (content !== undefined) rendered.push(renderSection(name, [], content));
  });
  return rendered;
}

export async function main(): Promise<void> {
  const rendered = renderSections(createRenderer(await import('echarts')));
  if (rendered.length === 0) {
    process.stderr.write('report: no results found; run `npm run measure -- mixed` first\n');
    process.exitCode = 2;
    return;
  }
  const style = 'body{font-family:sans-serif;max-width:960px;margin:auto}pre{overflow:auto}';
  const page = `<!doctype html><meta charset="utf-8"><title>celerydrift measures</title><style>${style}</style><h1>celerydrift measures</h1>${rendered.join('')}`;
  fs.writeFileSync(PAGE_FILE, page);
  process.stdout.write(`${PAGE_FILE}\n`);
}
