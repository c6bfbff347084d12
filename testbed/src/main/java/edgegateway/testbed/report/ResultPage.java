package edgegateway.testbed.report;

import edgegateway.testbed.checker.Violation;
import edgegateway.testbed.scenario.FaultInterval;
import edgegateway.testbed.scenario.RunResult;
import edgegateway.testbed.scenario.SecondMetrics;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.AnnotationLine;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * A result as one HTML page that needs no network: its figures, its findings, and how it went
 * second by second.
 */
public final class ResultPage {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 260;
  private static final int PERCENT = 100;

  private final RunResult result;
  private final List<Double> time = new ArrayList<>();

  private ResultPage(RunResult result) {
    this.result = result;
    for (int i = 0; i < result.seconds().size(); i++) {
      time.add((double) i);
    }
  }

  /** Writes the page. */
  public static void write(RunResult result, Path to) throws IOException {
    Files.writeString(to, new ResultPage(result).html(), StandardCharsets.UTF_8);
  }

  private String html() throws IOException {
    StringBuilder page = new StringBuilder(head(title()));
    table(page, figures());
    page.append(
        result.findings().isEmpty()
            ? "<p>All rules held.</p>\n"
            : "<p class=\"bad\">Rules broken: " + result.findings().size() + "</p>\n<ul>\n");
    for (Violation finding : result.findings()) {
      page.append("<li class=\"bad\">")
          .append(
              escaped(
                  finding.rule()
                      + " "
                      + finding.id()
                      + " "
                      + finding.node()
                      + ": "
                      + finding.text()))
          .append("</li>\n");
    }
    page.append(result.findings().isEmpty() ? "" : "</ul>\n");
    if (!result.marks().isEmpty()) {
      page.append("<h2>Faults</h2>\n<ul>\n");
      for (FaultInterval mark : result.marks()) {
        page.append(
            String.format(
                Locale.ROOT,
                "<li>%.1f to %.1f s: %s</li>%n",
                mark.fromS(),
                mark.untilS(),
                escaped(mark.text())));
      }
      page.append(
          "</ul>\n<p>In the charts grey lines mark where faults begin and end; each point is a second, of arrivals or of attempts.</p>\n");
    }
    chart(
        page,
        "Worth answered in its aim, % of what was asked for",
        "%",
        lines(
            "answered",
            one -> share(one.good(), one),
            "capacity allowed",
            one -> share(one.possible(), one)));
    chart(
        page,
        "Answers",
        "requests",
        lines(
            "served",
            SecondMetrics::served,
            "refused",
            SecondMetrics::refused,
            "failed",
            one -> one.asked() - one.served() - one.refused()));
    chart(
        page,
        "Time of a served request",
        "ms",
        lines("p50", SecondMetrics::p50Ms, "p99", SecondMetrics::p99Ms));
    Map<String, ToDoubleFunction<SecondMetrics>> zones = new LinkedHashMap<>();
    TreeSet<String> names = new TreeSet<>();
    result.seconds().forEach(one -> names.addAll(one.attempts().keySet()));
    names.forEach(zone -> zones.put("zone " + zone, one -> one.attempts().getOrDefault(zone, 0)));
    chart(page, "Attempts that reached archive servers", "attempts", zones);
    chart(
        page,
        "Archive servers: reached by attempts, and capacity at hand",
        "%",
        lines(
            "reached",
            one -> PERCENT * one.reached(),
            "capacity",
            one -> PERCENT * one.capacity()));
    return page.append("</body></html>\n").toString();
  }

  private String title() {
    return result.scenario() + ", seed " + result.seed();
  }

  private static double share(double part, SecondMetrics of) {
    return of.worth() == 0 ? PERCENT : PERCENT * part / of.worth();
  }

  private Map<String, String> figures() {
    Map<String, String> all = new LinkedHashMap<>();
    all.put(
        "goodput", text(result.goodput()) + " (capacity allowed " + text(result.possible()) + ")");
    all.put(
        "requests",
        result.asked()
            + ": "
            + result.served()
            + " served, "
            + result.refused()
            + " refused, "
            + result.failed()
            + " failed");
    all.put("served in", text(result.p50Ms()) + " ms (p50), " + text(result.p99Ms()) + " ms (p99)");
    all.put("attempts", Long.toString(result.attempts()));
    all.put(
        "cold servers",
        result.fell()
            + " pushed over; the most pressed got "
            + text(result.pressure())
            + " of what pushes it over");
    if (result.recovery() != null) {
      all.put("goodput before the faults", text(result.recovery().before()));
      all.put(
          "back at 0.5, 0.9, 0.99 of it",
          after(result.recovery().toHalf())
              + ", "
              + after(result.recovery().toNineTenths())
              + ", "
              + after(result.recovery().toAll())
              + " (capacity allowed 0.9 "
              + after(result.recovery().possible())
              + ")");
    }
    return all;
  }

  private static String after(int seconds) {
    return seconds < 0 ? "never" : "after " + seconds + " s";
  }

  private static String text(double value) {
    return String.format(Locale.ROOT, value < 10 ? "%.3f" : "%.0f", value);
  }

  private static void table(StringBuilder page, Map<String, String> rows) {
    page.append("<table>\n");
    rows.forEach(
        (name, value) ->
            page.append("<tr><th>")
                .append(escaped(name))
                .append("</th><td>")
                .append(escaped(value))
                .append("</td></tr>\n"));
    page.append("</table>\n");
  }

  private static Map<String, ToDoubleFunction<SecondMetrics>> lines(
      String first,
      ToDoubleFunction<SecondMetrics> a,
      String second,
      ToDoubleFunction<SecondMetrics> b) {
    Map<String, ToDoubleFunction<SecondMetrics>> all = new LinkedHashMap<>();
    all.put(first, a);
    all.put(second, b);
    return all;
  }

  private static Map<String, ToDoubleFunction<SecondMetrics>> lines(
      String first,
      ToDoubleFunction<SecondMetrics> a,
      String second,
      ToDoubleFunction<SecondMetrics> b,
      String third,
      ToDoubleFunction<SecondMetrics> c) {
    Map<String, ToDoubleFunction<SecondMetrics>> all = lines(first, a, second, b);
    all.put(third, c);
    return all;
  }

  private void chart(
      StringBuilder page,
      String title,
      String unit,
      Map<String, ToDoubleFunction<SecondMetrics>> lines)
      throws IOException {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(title)
            .xAxisTitle("s")
            .yAxisTitle(unit)
            .theme(Styler.ChartTheme.Matlab)
            .build();
    chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
    chart.getStyler().setYAxisMin(0.0);
    lines.forEach(
        (name, figure) ->
            chart
                .addSeries(
                    name,
                    time,
                    result.seconds().stream().map(one -> figure.applyAsDouble(one)).toList())
                .setMarker(SeriesMarkers.NONE));
    for (FaultInterval mark : result.marks()) {
      chart.addAnnotation(new AnnotationLine(mark.fromS(), true, false));
      chart.addAnnotation(new AnnotationLine(mark.untilS(), true, false));
    }
    page.append(image(title, chart));
  }

  /** A chart as a picture inside its page. */
  static String image(String title, XYChart chart) throws IOException {
    return "<p><img alt=\""
        + escaped(title)
        + "\" src=\"data:image/png;base64,"
        + Base64.getEncoder().encodeToString(BitmapEncoder.getBitmapBytes(chart, BitmapFormat.PNG))
        + "\"></p>\n";
  }

  /** What a page begins with, up to its heading. */
  static String head(String title) {
    return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>"
        + escaped(title)
        + "</title><style>body{font-family:sans-serif;max-width:60em;margin:2em auto;padding:0 1em}"
        + "td,th{text-align:left;padding:.15em 1.5em .15em 0}.bad{color:#a00}img{max-width:100%;height:auto}</style></head><body>\n<h1>"
        + escaped(title)
        + "</h1>\n";
  }

  private static String escaped(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
