package edgegateway.node.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Splits a byte stream into JSON objects, which may be one per line, span several lines or follow
 * each other on a line. Empty lines between objects are reported too. Only braces and strings are
 * tracked; the content of an object is not validated.
 */
public final class JsonObjectSplitter {
  private final int maxObjectBytes;
  private final Consumer<String> onObject;
  private final Runnable onEmptyLine;

  /** The bytes received so far of an incomplete object. */
  private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

  /** Number of open braces; 0 between objects. */
  private int depth;

  private boolean inString;
  private boolean escaped;

  /** Whether an object began since the last line break outside objects. */
  private boolean lineHasObject;

  /** Both callbacks are called from within {@link #append}. */
  public JsonObjectSplitter(int maxObjectBytes, Consumer<String> onObject, Runnable onEmptyLine) {
    this.maxObjectBytes = maxObjectBytes;
    this.onObject = onObject;
    this.onEmptyLine = onEmptyLine;
  }

  /**
   * Processes the next bytes of the stream. This is a single flat loop because lists are long and
   * the JVM of a node that has just started still interprets this code.
   *
   * @throws IllegalArgumentException if a byte between objects is neither white space nor an
   *     opening brace, or if an object is too long
   */
  public void append(byte[] bytes) {
    int objectStart = 0;
    for (int i = 0; i < bytes.length; i++) {
      byte next = bytes[i];
      if (inString) {
        inString = escaped || next != '"';
        escaped = !escaped && next == '\\';
      } else if (depth == 0) {
        objectStart = i;
        readBetweenObjects(next);
      } else if (next == '"') {
        inString = true;
      } else if (next == '{') {
        depth++;
      } else if (next == '}' && --depth == 0) {
        bufferObject(bytes, objectStart, i + 1);
        String object = partial.toString(StandardCharsets.UTF_8);
        partial.reset();
        onObject.accept(object);
      }
    }
    if (depth > 0) {
      bufferObject(bytes, objectStart, bytes.length);
    }
  }

  private void readBetweenObjects(byte next) {
    if (next == '{') {
      lineHasObject = true;
      depth = 1;
    } else if (next == '\n') {
      if (!lineHasObject) {
        onEmptyLine.run();
      }
      lineHasObject = false;
    } else if (next != ' ' && next != '\t' && next != '\r') {
      throw new IllegalArgumentException("expected a JSON object, found byte " + next);
    }
  }

  private void bufferObject(byte[] bytes, int from, int to) {
    if (partial.size() + to - from > maxObjectBytes) {
      throw new IllegalArgumentException("JSON object is longer than " + maxObjectBytes + " bytes");
    }
    partial.write(bytes, from, to - from);
  }
}
