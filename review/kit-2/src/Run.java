import java.nio.file.Path;

/** Runs the case that the argument names: opens its record, and ends everything after 115 s at the latest. */
final class Run {
  private Run() {}

  public static void main(String[] args) throws Exception {
    Record.open(Path.of(System.getProperty("record")));
    Thread watchdog =
        new Thread(
            () -> {
              try {
                Thread.sleep(115_000);
                Record.tell("the case took too long");
                System.exit(2);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    watchdog.setDaemon(true);
    watchdog.start();
    try {
      Class.forName(args[0]).getDeclaredMethod("main", String[].class).invoke(null, (Object) new String[0]);
    } catch (Throwable e) {
      Throwable cause = e.getCause() == null ? e : e.getCause();
      Record.tell("the case could not run: %s", cause);
      cause.printStackTrace();
      System.exit(2);
    }
  }
}
