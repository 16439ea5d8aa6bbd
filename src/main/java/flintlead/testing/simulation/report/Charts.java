package flintlead.testing.simulation.report;

import java.awt.Color;
import java.awt.geom.Rectangle2D;
import java.nio.charset.StandardCharsets;
import java.util.UUID;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.block.BlockBorder;
import org.jfree.chart.plot.CategoryPlot;
import org.jfree.chart.plot.XYPlot;
import org.jfree.svg.SVGGraphics2D;

/** The look that all plots share, and their drawing as SVG. */
final class Charts {

  static final int HEIGHT = 260;
  static final Color GREEN = new Color(0x3b7d4f);
  static final Color YELLOW = new Color(0xd9a441);
  static final Color BLUE = new Color(0x5a7fb5);
  static final Color RED = new Color(0xb5443b);
  static final Color BLACK = new Color(0x222222);

  private static final Color GRID = new Color(0xdddddd);
  private static final int WIDTH = 960;
  private static final int PREFIX_LENGTH = 8;

  private Charts() {}

  static void style(XYPlot plot) {
    plot.setBackgroundPaint(Color.WHITE);
    plot.setDomainGridlinePaint(GRID);
    plot.setRangeGridlinePaint(GRID);
    plot.setOutlineVisible(false);
  }

  static void style(CategoryPlot plot) {
    plot.setBackgroundPaint(Color.WHITE);
    plot.setRangeGridlinePaint(GRID);
    plot.setOutlineVisible(false);
  }

  /** Draws a chart as an SVG element. */
  static String toSvg(JFreeChart chart, int height) {
    chart.setBackgroundPaint(Color.WHITE);
    chart.setAntiAlias(true);
    if (chart.getLegend() != null) {
      chart.getLegend().setFrame(BlockBorder.NONE);
    }
    SVGGraphics2D drawing = new SVGGraphics2D(WIDTH, height);
    // Ids of clips must not collide with those of another plot in the same page.
    byte[] title = chart.getTitle().getText().getBytes(StandardCharsets.UTF_8);
    drawing.setDefsKeyPrefix(
        "p" + UUID.nameUUIDFromBytes(title).toString().substring(0, PREFIX_LENGTH));
    chart.draw(drawing, new Rectangle2D.Double(0, 0, WIDTH, height));
    return drawing.getSVGElement();
  }
}
