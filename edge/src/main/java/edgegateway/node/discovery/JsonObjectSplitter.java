package edgegateway.node.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Cuts a stream of bytes into JSON objects, however they are laid out: one a line, over several
 * lines, or one behind the other. An empty line between two of them is told too. What an object
 * holds is not looked at: that is for a parser.
 */
public final class JsonObjectSplitter {
  private final int most;
  private final Consumer<String> object;
  private final Runnable emptyLine;
  private final ByteArrayOutputStream held = new ByteArrayOutputStream();
  private int depth;
  private boolean text;
  private boolean escaped;
  private boolean something;

  /**
   * {@code most} is how many bytes an object may have; an empty line is told as {@code emptyLine}.
   */
  public JsonObjectSplitter(int most, Consumer<String> object, Runnable emptyLine) {
    this.most = most;
    this.object = object;
    this.emptyLine = emptyLine;
  }

  /**
   * The next bytes, in a loop of its own: a list is long, and a node that just began runs it
   * uncompiled.
   *
   * @throws IllegalArgumentException if no object can begin so, or if one is too long
   */
  public void next(byte[] bytes) {
    int from = 0;
    for (int i = 0; i < bytes.length; i++) {
      byte next = bytes[i];
      if (text) {
        text = escaped || next != '"';
        escaped = !escaped && next == '\\';
      } else if (depth == 0) {
        from = i;
        between(next);
      } else if (next == '"') {
        text = true;
      } else if (next == '{') {
        depth++;
      } else if (next == '}' && --depth == 0) {
        hold(bytes, from, i + 1);
        String whole = held.toString(StandardCharsets.UTF_8);
        held.reset();
        object.accept(whole);
      }
    }
    if (depth > 0) {
      hold(bytes, from, bytes.length);
    }
  }

  private void between(byte next) {
    if (next == '{') {
      something = true;
      depth = 1;
    } else if (next == '\n') {
      if (!something) {
        emptyLine.run();
      }
      something = false;
    } else if (next != ' ' && next != '\t' && next != '\r') {
      throw new IllegalArgumentException("no JSON object begins with the byte " + next);
    }
  }

  private void hold(byte[] bytes, int from, int to) {
    if (held.size() + to - from > most) {
      throw new IllegalArgumentException("an object of more than " + most + " bytes");
    }
    held.write(bytes, from, to - from);
  }
}
