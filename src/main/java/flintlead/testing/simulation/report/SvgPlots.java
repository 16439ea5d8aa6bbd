package flintlead.testing.simulation.report;

import flintlead.testing.simulation.experiment.Experiment;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.apache.commons.statistics.descriptive.Mean;
import org.apache.commons.statistics.descriptive.StandardDeviation;
import org.apache.commons.statistics.distribution.TDistribution;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.plot.CategoryPlot;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.renderer.category.StatisticalLineAndShapeRenderer;
import org.jfree.data.statistics.DefaultStatisticalCategoryDataset;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Draws plots that have no time axis, as SVG elements for a page. */
final class SvgPlots {

  private static final int SPREAD_HEIGHT = 200;
  private static final int ARMS_HEIGHT = 220;

  /** One side of a 95% interval. */
  private static final double TAIL = 0.025;

  /** Values below this are small shares, whose axis begins at zero. */
  private static final double SMALL_SHARE = 0.5;

  private SvgPlots() {}

  /**
   * On how many hosts the functions ran, the most invoked first.
   *
   * @param hostsOf number of hosts by function
   * @param invocations number of invocations by function
   */
  static String spread(Map<String, Integer> hostsOf, Map<String, Integer> invocations) {
    List<String> functions = new ArrayList<>(hostsOf.keySet());
    functions.sort(
        (one, other) ->
            Integer.compare(invocations.getOrDefault(other, 0), invocations.getOrDefault(one, 0)));
    XYSeries series = new XYSeries("hosts that ran it");
    for (int i = 0; i < functions.size(); i++) {
      series.add(i + 1, hostsOf.get(functions.get(i)));
    }
    JFreeChart chart =
        ChartFactory.createXYLineChart(
            "Functions by how much they were wanted: hosts that ran each",
            "rank",
            "hosts",
            new XYSeriesCollection(series),
            PlotOrientation.VERTICAL,
            false,
            false,
            false);
    Charts.style(chart.getXYPlot());
    chart.getXYPlot().getRenderer().setSeriesPaint(0, Charts.BLUE);
    return Charts.toSvg(chart, SPREAD_HEIGHT);
  }

  /** One metric over all arms, with the 95% interval of each mean. */
  static String arms(String metric, List<Experiment.Arm> arms) {
    DefaultStatisticalCategoryDataset data = new DefaultStatisticalCategoryDataset();
    for (Experiment.Arm arm : arms) {
      double[] values = arm.outcomes().get(metric);
      data.add(Mean.of(values).getAsDouble(), halfWidth(values), metric, arm.name());
    }
    JFreeChart chart =
        ChartFactory.createLineChart(
            metric, null, null, data, PlotOrientation.VERTICAL, false, false, false);
    StatisticalLineAndShapeRenderer renderer = new StatisticalLineAndShapeRenderer(false, true);
    renderer.setSeriesPaint(0, Charts.BLUE);
    renderer.setErrorIndicatorPaint(Charts.BLACK);
    CategoryPlot plot = chart.getCategoryPlot();
    plot.setRenderer(renderer);
    Charts.style(plot);
    NumberAxis axis = (NumberAxis) plot.getRangeAxis();
    double most = Arrays.stream(arms.get(0).outcomes().get(metric)).max().orElse(0);
    axis.setAutoRangeIncludesZero(most < SMALL_SHARE);
    return Charts.toSvg(chart, ARMS_HEIGHT);
  }

  private static double halfWidth(double[] values) {
    if (values.length < 2) {
      return 0;
    }
    return TDistribution.of(values.length - 1).inverseSurvivalProbability(TAIL)
        * StandardDeviation.of(values).getAsDouble()
        / Math.sqrt(values.length);
  }
}
