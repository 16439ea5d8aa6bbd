package flintlead.testing.simulation.report;

import flintlead.testing.scenario.EventRecorder;
import flintlead.testing.scenario.Fault;
import flintlead.testing.scenario.Scenario;
import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.text.DecimalFormat;
import java.text.DecimalFormatSymbols;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.plot.IntervalMarker;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.StackedXYAreaRenderer2;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.chart.ui.Layer;
import org.jfree.chart.ui.RectangleAnchor;
import org.jfree.chart.ui.RectangleInsets;
import org.jfree.chart.ui.TextAnchor;
import org.jfree.data.xy.DefaultTableXYDataset;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Draws the invocations of a run over time, with the faults behind the curves. */
final class TimePlots {

  private static final Map<EventRecorder.Completion, Color> COLOURS =
      new EnumMap<>(
          Map.of(
              EventRecorder.Completion.IN_OBJECTIVE,
              Charts.GREEN,
              EventRecorder.Completion.LATE,
              Charts.YELLOW,
              EventRecorder.Completion.THROTTLED,
              Charts.BLUE,
              EventRecorder.Completion.ERRORED,
              Charts.RED,
              EventRecorder.Completion.LOST,
              Charts.BLACK));
  private static final double[] PERCENTILES = {50, 90, 99};
  private static final Color[] PERCENTILE_COLOURS = {Charts.GREEN, Charts.YELLOW, Charts.RED};
  private static final float LINE_WIDTH = 1.6f;

  private static final Color FAULT_BAND = new Color(0x80, 0x60, 0x20, 0x28);
  private static final double MIN_BAND_SECONDS = 0.05;
  private static final int LABEL_SIZE = 9;
  private static final int LABEL_ROWS = 5;

  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final double MICROS_PER_MILLI = 1000.0;
  private static final long MAX_LATENCY_MICROS = 600_000_000L;
  private static final int HISTOGRAM_DIGITS = 3;
  private static final double MIN_SHOWN_MS = 0.1;

  private TimePlots() {}

  // ---- shared ----

  private static int second(EventRecorder.InvocationRecord invocation) {
    return (int) (invocation.at().micros() / MICROS_PER_SECOND);
  }

  private static String label(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }

  /** All plots over time have the same range, so that they can be read from top to bottom. */
  static void setTimeRange(XYPlot plot, Scenario scenario) {
    plot.getDomainAxis()
        .setRange(0, Math.max(1, scenario.duration().micros() / (double) MICROS_PER_SECOND));
  }

  private static void markFaults(XYPlot plot, Scenario scenario) {
    int row = 0;
    for (Fault fault : scenario.faults()) {
      double from = fault.startsAt().micros() / (double) MICROS_PER_SECOND;
      double seconds =
          Math.max(MIN_BAND_SECONDS, fault.duration().micros() / (double) MICROS_PER_SECOND);
      IntervalMarker band = new IntervalMarker(from, from + seconds, FAULT_BAND);
      band.setLabel(label(fault.kind()));
      band.setLabelFont(new Font(Font.SANS_SERIF, Font.PLAIN, LABEL_SIZE));
      band.setLabelAnchor(RectangleAnchor.TOP_LEFT);
      band.setLabelTextAnchor(TextAnchor.TOP_LEFT);
      // In rows: the labels of faults that overlap would cover one another.
      band.setLabelOffset(new RectangleInsets(2 + 11 * (row++ % LABEL_ROWS), 2, 0, 0));
      plot.addDomainMarker(band, Layer.BACKGROUND);
    }
  }

  private static String finish(JFreeChart chart, Scenario scenario, int height) {
    XYPlot plot = chart.getXYPlot();
    Charts.style(plot);
    markFaults(plot, scenario);
    setTimeRange(plot, scenario);
    return Charts.toSvg(chart, height);
  }

  // ---- how invocations ended ----

  static String completions(Scenario scenario, EventRecorder recorder) {
    JFreeChart chart =
        ChartFactory.createStackedXYAreaChart(
            "Invocations by how they ended, a second",
            "s",
            "a second",
            completionsBySecond(scenario, recorder),
            PlotOrientation.VERTICAL,
            true,
            false,
            false);
    StackedXYAreaRenderer2 renderer = new StackedXYAreaRenderer2();
    for (EventRecorder.Completion end : EventRecorder.Completion.values()) {
      renderer.setSeriesPaint(end.ordinal(), COLOURS.get(end));
    }
    chart.getXYPlot().setRenderer(renderer);
    return finish(chart, scenario, Charts.HEIGHT + 40);
  }

  private static DefaultTableXYDataset completionsBySecond(
      Scenario scenario, EventRecorder recorder) {
    int seconds = (int) (scenario.duration().micros() / MICROS_PER_SECOND) + 1;
    Map<EventRecorder.Completion, int[]> counts = new EnumMap<>(EventRecorder.Completion.class);
    for (EventRecorder.Completion end : EventRecorder.Completion.values()) {
      counts.put(end, new int[seconds]);
    }
    for (EventRecorder.InvocationRecord each : recorder.invocations) {
      counts.get(each.completion())[Math.min(seconds - 1, second(each))]++;
    }
    DefaultTableXYDataset data = new DefaultTableXYDataset();
    counts.forEach(
        (end, bySecond) -> {
          XYSeries series = new XYSeries(label(end), true, false);
          // Without the last, which is no full second.
          for (int i = 0; i < bySecond.length - 1; i++) {
            series.add(i + 0.5, bySecond[i]);
          }
          data.addSeries(series);
        });
    return data;
  }

  // ---- latency ----

  static String latency(Scenario scenario, EventRecorder recorder) {
    JFreeChart chart =
        ChartFactory.createXYLineChart(
            "Time to the answer that succeeded, all tries together",
            "s",
            "ms",
            latencyBySecond(recorder),
            PlotOrientation.VERTICAL,
            true,
            false,
            false);
    LogAxis axis = new LogAxis("ms");
    axis.setSmallestValue(MIN_SHOWN_MS);
    axis.setNumberFormatOverride(
        new DecimalFormat("0.#", DecimalFormatSymbols.getInstance(Locale.ROOT)));
    XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, false);
    for (int i = 0; i < PERCENTILE_COLOURS.length; i++) {
      renderer.setSeriesPaint(i, PERCENTILE_COLOURS[i]);
      renderer.setSeriesStroke(i, new BasicStroke(LINE_WIDTH));
    }
    chart.getXYPlot().setRangeAxis(axis);
    chart.getXYPlot().setRenderer(renderer);
    return finish(chart, scenario, Charts.HEIGHT);
  }

  private static XYSeriesCollection latencyBySecond(EventRecorder recorder) {
    TreeMap<Integer, Histogram> bySecond = new TreeMap<>();
    for (EventRecorder.InvocationRecord each : recorder.invocations) {
      if (each.completion() == EventRecorder.Completion.IN_OBJECTIVE
          || each.completion() == EventRecorder.Completion.LATE) {
        bySecond
            .computeIfAbsent(
                second(each), any -> new Histogram(MAX_LATENCY_MICROS, HISTOGRAM_DIGITS))
            .recordValue(Math.max(1, Math.min(MAX_LATENCY_MICROS, each.latency().micros())));
      }
    }
    XYSeriesCollection data = new XYSeriesCollection();
    for (double percentile : PERCENTILES) {
      XYSeries series = new XYSeries("p" + (int) percentile);
      bySecond.forEach(
          (second, histogram) ->
              series.add(
                  second + 0.5,
                  Math.max(
                      MIN_SHOWN_MS,
                      histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI)));
      data.addSeries(series);
    }
    return data;
  }
}
