package flintlead.testing.simulation.report;

import flintlead.testing.scenario.EventRecorder;
import flintlead.testing.scenario.Scenario;
import java.awt.Color;
import java.awt.Font;
import java.util.List;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.axis.SymbolAxis;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.LookupPaintScale;
import org.jfree.chart.renderer.xy.XYBlockRenderer;
import org.jfree.data.xy.DefaultXYZDataset;

/**
 * Draws the hosts over time: how many invocations wait in each, and which are cold, draining or
 * down.
 */
final class HostHeatMap {

  /** States that have a colour of their own, as values below those of queue lengths. */
  private static final int DOWN = -3;

  private static final int DRAINING = -2;
  private static final int COLD = -1;

  private static final double[] STEPS = {0.5, 2.5, 5.5, 10.5, 20.5, 40.5};
  private static final Color[] HEAT = {
    new Color(0xf9e2b5),
    new Color(0xf3bf7a),
    new Color(0xe58f4c),
    new Color(0xcf5c36),
    new Color(0xa32d2d),
    new Color(0x5f1220)
  };

  private static final double BLOCK_HEIGHT = 0.95;
  private static final int MIN_HEIGHT = 160;
  private static final int MAX_HEIGHT = 900;
  private static final int FRAME_HEIGHT = 70;
  private static final int ROW_HEIGHT = 12;
  private static final int MANY_HOSTS = 30;

  private HostHeatMap() {}

  /** The plot; empty where there are no samples. */
  static String draw(Scenario scenario, EventRecorder recorder) {
    List<EventRecorder.FleetSample> samples = recorder.samples;
    if (samples.isEmpty()) {
      return "";
    }
    List<String> hosts =
        samples.get(0).hosts().stream().map(EventRecorder.HostSample::host).toList();
    double[][] cells = cells(samples, hosts.size());
    DefaultXYZDataset data = new DefaultXYZDataset();
    data.addSeries("hosts", cells);
    XYPlot plot = new XYPlot(data, new NumberAxis("s"), rows(hosts), renderer(maximum(cells[2])));
    plot.setBackgroundPaint(Color.WHITE);
    TimePlots.setTimeRange(plot, scenario);
    JFreeChart chart =
        new JFreeChart("Hosts: waiting in each", JFreeChart.DEFAULT_TITLE_FONT, plot, false);
    int height = FRAME_HEIGHT + ROW_HEIGHT * hosts.size();
    return Charts.toSvg(chart, Math.max(MIN_HEIGHT, Math.min(MAX_HEIGHT, height)));
  }

  /** Times in seconds, rows and values of all cells. */
  private static double[][] cells(List<EventRecorder.FleetSample> samples, int hosts) {
    double[][] cells = new double[3][samples.size() * hosts];
    int next = 0;
    for (EventRecorder.FleetSample sample : samples) {
      for (int host = 0; host < hosts; host++) {
        cells[0][next] = sample.at().micros() / 1e6;
        cells[1][next] = host;
        cells[2][next] = value(sample.hosts().get(host));
        next++;
      }
    }
    return cells;
  }

  private static int value(EventRecorder.HostSample host) {
    if (!host.up()) {
      return DOWN;
    }
    if (host.draining()) {
      return DRAINING;
    }
    return host.cold() && host.waiting() == 0 ? COLD : host.waiting();
  }

  private static double maximum(double[] values) {
    double most = 1;
    for (double value : values) {
      most = Math.max(most, value);
    }
    return most;
  }

  private static SymbolAxis rows(List<String> hosts) {
    SymbolAxis rows = new SymbolAxis(null, hosts.toArray(String[]::new));
    rows.setTickLabelFont(new Font(Font.SANS_SERIF, Font.PLAIN, hosts.size() > MANY_HOSTS ? 6 : 9));
    return rows;
  }

  private static XYBlockRenderer renderer(double most) {
    LookupPaintScale paints = new LookupPaintScale(DOWN - 0.5, most + 1, Color.WHITE);
    paints.add(DOWN - 0.5, Charts.BLACK);
    paints.add(DRAINING - 0.5, new Color(0x9a6fb0));
    paints.add(COLD - 0.5, new Color(0x9cc3e6));
    paints.add(-0.5, new Color(0xf4f1ea));
    for (int i = 0; i < STEPS.length; i++) {
      paints.add(STEPS[i], HEAT[i]);
    }
    XYBlockRenderer renderer = new XYBlockRenderer();
    renderer.setPaintScale(paints);
    renderer.setBlockWidth(EventRecorder.SAMPLE_INTERVAL.micros() / 1e6);
    renderer.setBlockHeight(BLOCK_HEIGHT);
    return renderer;
  }
}
