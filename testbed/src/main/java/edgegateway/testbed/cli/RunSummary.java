package edgegateway.testbed.cli;

import edgegateway.testbed.scenario.RunResult;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Figures of several plays side by side: for each the median, the least and the most. */
final class RunSummary {
  private static final Map<String, ToDoubleFunction<RunResult>> FIGURES = new LinkedHashMap<>();

  static {
    FIGURES.put("goodput", RunResult::goodput);
    FIGURES.put("possible", RunResult::possible);
    FIGURES.put("served", RunResult::served);
    FIGURES.put("refused", RunResult::refused);
    FIGURES.put("failed", RunResult::failed);
    FIGURES.put("p99 ms", RunResult::p99Ms);
    FIGURES.put("tries", RunResult::tries);
    FIGURES.put("attempts", RunResult::attempts);
    FIGURES.put(
        "s to 0.5", one -> one.recovery() == null ? Double.NaN : seconds(one.recovery().toHalf()));
    FIGURES.put(
        "s to 0.9",
        one -> one.recovery() == null ? Double.NaN : seconds(one.recovery().toNineTenths()));
    FIGURES.put(
        "s to 0.99", one -> one.recovery() == null ? Double.NaN : seconds(one.recovery().toAll()));
    FIGURES.put(
        "s to 0.9, possible",
        one -> one.recovery() == null ? Double.NaN : seconds(one.recovery().possible()));
    FIGURES.put(
        "of possible, faults on",
        one -> one.recovery() == null ? Double.NaN : one.recovery().whileOf());
    FIGURES.put(
        "of possible, after",
        one -> one.recovery() == null ? Double.NaN : one.recovery().afterOf());
    FIGURES.put("cold pressure", RunResult::pressure);
    FIGURES.put("servers fallen", RunResult::fell);
    FIGURES.put("rules broken", one -> one.findings().size());
  }

  private final Map<String, List<RunResult>> columns = new LinkedHashMap<>();

  /** Not by the end: worse than any number. */
  private static double seconds(int of) {
    return of < 0 ? Double.POSITIVE_INFINITY : of;
  }

  void add(String column, RunResult result) {
    columns.computeIfAbsent(column, any -> new ArrayList<>()).add(result);
  }

  /** A table in Markdown; figures that no play has are left out. */
  void print(PrintStream to) {
    to.println("| | " + String.join(" | ", columns.keySet()) + " |");
    to.println("| --- |" + " --- |".repeat(columns.size()));
    FIGURES.forEach(
        (name, figure) -> {
          StringBuilder line = new StringBuilder("| " + name + " |");
          boolean any = false;
          for (List<RunResult> results : columns.values()) {
            double[] sorted =
                results.stream()
                    .mapToDouble(figure)
                    .filter(value -> !Double.isNaN(value))
                    .sorted()
                    .toArray();
            any |= sorted.length > 0;
            line.append(' ').append(cell(sorted)).append(" |");
          }
          if (any) {
            to.println(line);
          }
        });
  }

  private static String cell(double... sorted) {
    return sorted.length == 0
        ? "-"
        : text(sorted[(sorted.length - 1) / 2])
            + (sorted.length == 1
                ? ""
                : " (" + text(sorted[0]) + " to " + text(sorted[sorted.length - 1]) + ")");
  }

  private static String text(double value) {
    return Double.isInfinite(value)
        ? "never"
        : value == Math.rint(value)
            ? String.format(Locale.ROOT, "%.0f", value)
            : String.format(Locale.ROOT, Math.abs(value) < 10 ? "%.3f" : "%.0f", value);
  }

  /** Plays in which a rule was broken. */
  List<RunResult> broken() {
    return columns.values().stream()
        .flatMap(List::stream)
        .filter(one -> !one.findings().isEmpty())
        .toList();
  }

  /** The lowest goodput of all. */
  double leastGoodput() {
    return columns.values().stream()
        .flatMap(List::stream)
        .mapToDouble(RunResult::goodput)
        .min()
        .orElse(0);
  }
}
