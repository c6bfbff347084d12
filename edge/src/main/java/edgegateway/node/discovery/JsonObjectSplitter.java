package edgegateway.node.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Splits a stream of bytes into JSON objects, however they are laid out: one a line, over several
 * lines, or one after the other. Empty lines between objects are reported too. The content of an
 * object is not checked: that is for a parser.
 */
public final class JsonObjectSplitter {
  private final int maxObjectBytes;
  private final Consumer<String> onObject;
  private final Runnable onEmptyLine;

  /** The begin of an object whose rest has not come yet. */
  private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

  /** Braces that are open; 0 between objects. */
  private int depth;

  private boolean inString;
  private boolean escaped;

  /** Whether an object began on the present line. */
  private boolean lineHasObject;

  /** Both callbacks are run from within {@link #append}. */
  public JsonObjectSplitter(int maxObjectBytes, Consumer<String> onObject, Runnable onEmptyLine) {
    this.maxObjectBytes = maxObjectBytes;
    this.onObject = onObject;
    this.onEmptyLine = onEmptyLine;
  }

  /**
   * Takes the next bytes of the stream. This is one flat loop because a list is long, and a node
   * that has just started runs the loop interpreted.
   *
   * @throws IllegalArgumentException if a byte can't begin an object, or if an object is too long
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
        keep(bytes, objectStart, i + 1);
        String object = partial.toString(StandardCharsets.UTF_8);
        partial.reset();
        onObject.accept(object);
      }
    }
    if (depth > 0) {
      keep(bytes, objectStart, bytes.length);
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
      throw new IllegalArgumentException("no JSON object begins with the byte " + next);
    }
  }

  private void keep(byte[] bytes, int from, int to) {
    if (partial.size() + to - from > maxObjectBytes) {
      throw new IllegalArgumentException("an object of more than " + maxObjectBytes + " bytes");
    }
    partial.write(bytes, from, to - from);
  }
}
