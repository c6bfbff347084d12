package edgegateway.testbed.processes;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * What a process has used, as Linux tells it (proc(5)). Processor time is told in hundredths of a
 * second.
 *
 * @param cpuS processor time of all its threads, ended ones too, in seconds
 * @param byThread the same of the threads that live, by their names; those of one name are added up
 * @param residentBytes memory that is resident now
 */
public record ProcessUsage(double cpuS, Map<String, Double> byThread, long residentBytes) {
  /** USER_HZ, the same on all machines that the program runs on. */
  private static final double TICKS = 100;

  private static final int USER = 11;
  private static final int SYSTEM = 12;
  private static final int KB = 1_024;

  /**
   * What it has used up to now.
   *
   * @throws IOException if it has ended, or the system is not Linux
   */
  public static ProcessUsage of(long pid) throws IOException {
    Path process = Path.of("/proc", Long.toString(pid));
    Map<String, Double> byThread = new TreeMap<>();
    List<Path> threads;
    try (Stream<Path> all = Files.list(process.resolve("task"))) {
      threads = all.toList();
    }
    for (Path thread : threads) {
      try {
        byThread.merge(Files.readString(thread.resolve("comm")).strip(), cpuS(thread), Double::sum);
      } catch (IOException e) {
        // It ended meanwhile; the process has its time.
      }
    }
    long resident =
        Files.readAllLines(process.resolve("status")).stream()
            .filter(line -> line.startsWith("VmRSS:"))
            .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) * KB)
            .findFirst()
            .orElse(0);
    return new ProcessUsage(cpuS(process), byThread, resident);
  }

  private static double cpuS(Path of) throws IOException {
    String stat = Files.readString(of.resolve("stat"));
    // Behind the name, which may hold anything.
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    return (Long.parseLong(fields[USER]) + Long.parseLong(fields[SYSTEM])) / TICKS;
  }
}
