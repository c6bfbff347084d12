package edgegateway.testbed.cli;

import edgegateway.testbed.scale.MeasuredPoint;
import edgegateway.testbed.scale.ScaleFile;
import edgegateway.testbed.scale.ScaleResult;
import edgegateway.testbed.scale.SimulationScaleRun;
import edgegateway.testbed.scale.sockets.SocketScaleRun;
import edgegateway.testbed.scenario.Scenario;
import java.io.IOException;
import java.nio.file.Path;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Fleets of several sizes, one after the other, and what each measured. */
@Command(
    name = "scale",
    mixinStandardHelpOptions = true,
    description = "Plays fleets of a file's sizes and writes what each measured.",
    subcommands = ScaleReportCommand.class)
final class ScaleCommand implements Callable<Integer> {
  private static final double SECOND = 1e9;

  @Spec private CommandSpec spec;

  @Parameters(paramLabel = "FILE", arity = "0..1", description = "the sizes")
  private Path file;

  @Option(names = "--side", description = "model or sockets; both if left out")
  private MeasuredPoint.Side side;

  @Option(
      names = "--seeds",
      paramLabel = "A..B",
      description = "both ends included; the file's one if left out")
  private SeedRange seeds;

  @Option(
      names = "--sizes",
      paramLabel = "A..B",
      description = "only these of a side's sizes, by their number in the file from 1 on")
  private SeedRange sizes;

  @Option(
      names = "--out",
      paramLabel = "DIR",
      description = "where scale.json goes; target/scale/NAME if left out")
  private Path out;

  /** One play. */
  private record Planned(String text, Callable<MeasuredPoint> play) {}

  @Override
  public Integer call() throws Exception {
    if (file == null) {
      throw new CommandLine.ParameterException(spec.commandLine(), "FILE is wanted");
    }
    try {
      ScaleFile read = ScaleFile.read(file);
      List<MeasuredPoint> points = new ArrayList<>();
      List<Planned> plays = plays(read);
      if (plays.isEmpty()) {
        System.err.println(file + ": has no such side or sizes");
        return 2;
      }
      String date = LocalDate.now().toString();
      String command = command();
      Path folder = out != null ? out : Path.of("target", "scale", read.name());
      for (Planned one : plays) {
        long begun = System.nanoTime();
        System.out.println(points.size() + 1 + " of " + plays.size() + ": " + one.text);
        points.add(one.play.call());
        // After each: a play that is broken off leaves what was measured before it.
        new ScaleResult(read, date, command, List.copyOf(points)).write(folder);
        System.out.printf(Locale.ROOT, "took %.1f s%n", (System.nanoTime() - begun) / SECOND);
      }
      System.out.println(folder.resolve(ScaleResult.NAME));
      return 0;
    } catch (Scenario.InvalidScenarioException | IOException e) {
      System.err.println(file + ": " + e.getMessage());
      return 2;
    }
  }

  /** As it was typed, less where its result goes: that is the machine's, and changes no play. */
  private String command() {
    List<String> typed = new ArrayList<>(spec.root().commandLine().getParseResult().originalArgs());
    int at = typed.indexOf("--out");
    if (at >= 0) {
      typed.subList(at, Math.min(at + 2, typed.size())).clear();
    }
    return String.join(" ", typed);
  }

  private List<Planned> plays(ScaleFile read) {
    List<Planned> plays = new ArrayList<>();
    Consumer<String> progress = System.out::println;
    for (long seed :
        (seeds == null ? new SeedRange(read.seed(), read.seed()) : seeds).all().toArray()) {
      if (side != MeasuredPoint.Side.SOCKETS && read.model() != null) {
        wanted(read.model().sizes())
            .forEach(
                size ->
                    plays.add(
                        new Planned(
                            "model, seed " + seed + ", " + size,
                            () -> SimulationScaleRun.play(read, size, seed, progress))));
      }
      if (side != MeasuredPoint.Side.MODEL && read.sockets() != null) {
        wanted(read.sockets().sizes())
            .forEach(
                size ->
                    plays.add(
                        new Planned(
                            "sockets, seed " + seed + ", " + size,
                            () -> SocketScaleRun.play(read, size, seed, progress))));
      }
    }
    return plays;
  }

  private <T> List<T> wanted(List<T> all) {
    return sizes == null
        ? all
        : IntStream.range(0, all.size())
            .filter(i -> i + 1 >= sizes.from() && i + 1 <= sizes.to())
            .mapToObj(all::get)
            .toList();
  }
}
