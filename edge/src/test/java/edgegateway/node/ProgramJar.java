package edgegateway.node;

import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import java.util.stream.Stream;

/**
 * The program's classes in a jar, as it is deployed. A process that runs from a folder of classes
 * opens a file for each class that it loads.
 */
final class ProgramJar {
  private ProgramJar() {}

  /** Returns the class path of this process, with the program's folders replaced by a new jar. */
  static String classPath(Path folder) throws IOException {
    Path jar = folder.resolve("program.jar");
    List<String> entries = new ArrayList<>(List.of(jar.toString()));
    try (OutputStream file = Files.newOutputStream(jar);
        JarOutputStream out = new JarOutputStream(file)) {
      for (String entry : System.getProperty("java.class.path").split(File.pathSeparator)) {
        if (!Files.isDirectory(Path.of(entry))) {
          entries.add(entry);
        } else if (Path.of(entry).endsWith("classes")) {
          addAll(Path.of(entry), out);
        }
      }
    }
    return String.join(File.pathSeparator, entries);
  }

  private static void addAll(Path classes, JarOutputStream out) throws IOException {
    try (Stream<Path> files = Files.walk(classes)) {
      for (Path file : files.filter(Files::isRegularFile).toList()) {
        out.putNextEntry(new JarEntry(classes.relativize(file).toString()));
        Files.copy(file, out);
      }
    }
  }
}
