package edgegateway.testbed.report;

import edgegateway.testbed.scale.GrowthCurve;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * What was measured over size, each with its budget's line, as one HTML page that needs no network.
 */
public final class ScalePage {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 320;

  private ScalePage() {}

  /** Writes the page. */
  public static void write(List<GrowthCurve> curves, Path to) throws IOException {
    StringBuilder page = new StringBuilder(ResultPage.head("Over size"));
    for (GrowthCurve curve : curves) {
      XYChart chart =
          new XYChartBuilder()
              .width(WIDTH)
              .height(HEIGHT)
              .title(curve.title())
              .xAxisTitle(curve.by())
              .yAxisTitle(curve.unit())
              .theme(Styler.ChartTheme.Matlab)
              .build();
      chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
      chart.getStyler().setXAxisLogarithmic(true);
      chart.getStyler().setYAxisMin(0.0);
      List<Double> sizes = List.copyOf(curve.slopes().keySet());
      chart
          .addSeries("median", sizes, List.copyOf(curve.slopes().values()))
          .setMarker(SeriesMarkers.CIRCLE);
      if (!curve.budget().isEmpty()) {
        chart.addSeries("budget", sizes, curve.budget()).setMarker(SeriesMarkers.NONE);
      }
      page.append(ResultPage.image(curve.title(), chart));
    }
    Files.writeString(to, page.append("</body></html>\n").toString(), StandardCharsets.UTF_8);
  }
}
