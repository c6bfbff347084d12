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
 * The file through which the old process of an upgrade transfers its state to the new one.
 *
 * <p>Two versions of the program run at the same time during an upgrade and share the file, so its
 * name must not change, and a change of the format needs a new {@link #FORMAT_VERSION}; the new
 * process then starts without the state. The file holds plain big-endian numbers, since during an
 * upgrade both processes are short of CPU time and the code of a serialization library would not be
 * compiled by the JIT compiler yet. May be used from any thread, but only from one at a time.
 */
public final class HandoverFile {
  private static final EventLog LOG = EventLog.console();

  /**
   * First field of the file. A change of the format needs a new value: a file of another format
   * version is deleted, reported in the log and otherwise ignored.
   */
  private static final int FORMAT_VERSION = 0x5eed0001;

  private static final String FILE_NAME = "handover";
  private static final String DRAFT_FILE_NAME = "handover.draft";

  /** Null if there is no shared folder. */
  private final Path file;

  /**
   * Creates an instance without accessing the file.
   *
   * @param folder the folder that both processes share; null if there is none
   */
  public HandoverFile(Path folder) {
    file = folder == null ? null : folder.resolve(FILE_NAME);
  }

  /** Deletes the file of an earlier upgrade, if there is one. */
  public void discard() throws IOException {
    if (file != null) {
      Files.deleteIfExists(file);
    }
  }

  /**
   * Writes the file atomically. A failure is logged and not thrown, since it must not prevent this
   * process from exiting; without the file the other process starts without the state.
   */
  public void write(StateTransfer state) {
    try {
      Path draft = file.resolveSibling(DRAFT_FILE_NAME);
      Files.write(draft, encode(state));
      Files.move(draft, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException e) {
      LOG.warn("state_transfer_not_written", field("file", file), field("error", e));
    }
  }

  /** Reads and deletes the file; returns null if it is missing or invalid. */
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
      throw new IOException(
          "unknown format version 0x" + Integer.toHexString(version) + " of the handover file");
    }
    double counterCallsPerSecond = in.readDouble();
    List<Double> serviceTimesSeconds = new ArrayList<>();
    for (int remaining = in.readInt(); remaining > 0; remaining--) {
      serviceTimesSeconds.add(in.readDouble());
    }
    List<QuotaUsage> quotaUsages = new ArrayList<>();
    for (int remaining = in.readInt(); remaining > 0; remaining--) {
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
