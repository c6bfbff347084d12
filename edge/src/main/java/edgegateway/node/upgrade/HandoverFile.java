package edgegateway.node.upgrade;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.logging.EventLog;
import edgegateway.policy.api.QuotaUsage;
import edgegateway.policy.api.StateTransfer;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;

/**
 * The file by which the process that an upgrade ends transfers its state to the other one.
 *
 * <p>Processes of two versions share it, so its name and form stay as they are. It holds plain
 * big-endian numbers: at that moment both processes are short of CPU time, and a library's code
 * would not be compiled yet. Safe for any thread, as long as each process reads or writes on one at
 * a time.
 */
public final class HandoverFile {
  private static final EventLog LOG = EventLog.console();

  /** Changes with the form; a file of another one is ignored. */
  private static final int FORMAT_VERSION = 0x5eed0001;

  private static final String NAME = "handover";
  private static final String DRAFT_NAME = "handover.draft";

  /** Null where there is nothing to share. */
  private final Path file;

  /**
   * Reads and writes nothing yet.
   *
   * @param folder the one that both processes share; null where there is none
   */
  public HandoverFile(Path folder) {
    file = folder == null ? null : folder.resolve(NAME);
  }

  /** Removes what an earlier upgrade left. */
  public void discard() throws IOException {
    if (file != null) {
      Files.deleteIfExists(file);
    }
  }

  /**
   * Writes the file whole or not at all. A failure is logged and not thrown: it must not keep this
   * process from its end, and without the file the other process begins with nothing.
   */
  public void write(StateTransfer state) {
    try {
      Path draft = file.resolveSibling(DRAFT_NAME);
      Files.write(draft, encode(state));
      Files.move(draft, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException e) {
      LOG.warn("state_transfer_not_written", field("file", file), field("error", e));
    }
  }

  /** Reads and removes the file; null if there is none, or none that can be read. */
  public StateTransfer read() {
    try {
      if (file == null || !Files.exists(file)) {
        return null;
      }
      byte[] bytes = Files.readAllBytes(file);
      Files.delete(file);
      return decode(bytes);
    } catch (IOException e) {
      LOG.warn("state_transfer_not_read", field("file", file), field("error", e));
      return null;
    }
  }

  private static byte[] encode(StateTransfer state) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeInt(FORMAT_VERSION);
    out.writeDouble(state.counterCallsPerSecond());
    out.writeInt(state.serviceTimesSeconds().size());
    for (double serviceTime : state.serviceTimesSeconds()) {
      out.writeDouble(serviceTime);
    }
    out.writeInt(state.quotaUsages().size());
    for (QuotaUsage usage : state.quotaUsages()) {
      encode(usage, out);
    }
    return bytes.toByteArray();
  }

  private static void encode(QuotaUsage usage, DataOutputStream out) throws IOException {
    out.writeLong(usage.customer());
    out.writeInt(usage.plan());
    out.writeInt(usage.customerNodeCount());
    out.writeLong(usage.window());
    out.writeDouble(usage.localUsage());
    out.writeDouble(usage.remoteUsage());
    out.writeDouble(usage.tokens());
    out.writeDouble(usage.remoteUnitsPerSecond());
    out.writeDouble(usage.predictedRemoteUsage());
    out.writeDouble(usage.unreportedUnits());
    out.writeDouble(usage.ceilingTokens());
    out.writeLong(usage.lastUpdateNanos());
  }

  private static StateTransfer decode(byte[] bytes) throws IOException {
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
    int version = in.readInt();
    if (version != FORMAT_VERSION) {
      throw new IOException("format version " + Integer.toHexString(version) + " is not known");
    }
    double counterCallsPerSecond = in.readDouble();
    List<Double> serviceTimesSeconds = new ArrayList<>();
    for (int left = in.readInt(); left > 0; left--) {
      serviceTimesSeconds.add(in.readDouble());
    }
    List<QuotaUsage> quotaUsages = new ArrayList<>();
    for (int left = in.readInt(); left > 0; left--) {
      quotaUsages.add(decodeUsage(in));
    }
    return new StateTransfer(counterCallsPerSecond, serviceTimesSeconds, quotaUsages);
  }

  private static QuotaUsage decodeUsage(DataInputStream in) throws IOException {
    long customer = in.readLong();
    int plan = in.readInt();
    int customerNodeCount = in.readInt();
    long window = in.readLong();
    double localUsage = in.readDouble();
    double remoteUsage = in.readDouble();
    double tokens = in.readDouble();
    double remoteUnitsPerSecond = in.readDouble();
    double predictedRemoteUsage = in.readDouble();
    double unreportedUnits = in.readDouble();
    double ceilingTokens = in.readDouble();
    long lastUpdateNanos = in.readLong();
    return new QuotaUsage(
        customer,
        plan,
        customerNodeCount,
        window,
        localUsage,
        remoteUsage,
        tokens,
        remoteUnitsPerSecond,
        predictedRemoteUsage,
        unreportedUnits,
        ceilingTokens,
        lastUpdateNanos);
  }
}
