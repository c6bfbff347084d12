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
 * The file by which the process that an upgrade ends tells the other one what it knows. Plain
 * numbers: at that moment both are short of CPU time, and a library's code would be cold.
 */
public final class HandoverFile {
  private static final EventLog LOG = EventLog.console();

  /** Changes with the form; another version's file is passed over. */
  private static final int FORM = 0x5eed0001;

  private final Path file;

  /** {@code folder} is null where there is nothing to share. */
  public HandoverFile(Path folder) {
    file = folder == null ? null : folder.resolve("handover");
  }

  /** What an earlier upgrade left is of no more use. */
  public void discard() throws IOException {
    if (file != null) {
      Files.deleteIfExists(file);
    }
  }

  /**
   * Without it the other process begins with nothing: a failure must not keep this one from its
   * end.
   */
  public void write(StateTransfer from) {
    try {
      Path draft = file.resolveSibling("handover.draft");
      Files.write(draft, bytes(from));
      Files.move(draft, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException e) {
      LOG.warn("state_transfer_not_written", field("error", e));
    }
  }

  private static byte[] bytes(StateTransfer from) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeInt(FORM);
    out.writeDouble(from.counterCallsPerSecond());
    out.writeInt(from.serviceTimesSeconds().size());
    for (double one : from.serviceTimesSeconds()) {
      out.writeDouble(one);
    }
    out.writeInt(from.quotaUsages().size());
    for (QuotaUsage use : from.quotaUsages()) {
      out.writeLong(use.customer());
      out.writeInt(use.plan());
      out.writeInt(use.gatewayCount());
      out.writeLong(use.window());
      for (double one :
          new double[] {
            use.localUsage(),
            use.remoteUsage(),
            use.tokens(),
            use.remoteUnitsPerSecond(),
            use.predictedRemoteUsage(),
            use.unreportedUnits(),
            use.ceilingTokens()
          }) {
        out.writeDouble(one);
      }
      out.writeLong(use.lastUpdateNanos());
    }
    return bytes.toByteArray();
  }

  /** What the other process has told, once; null if nothing, or nothing that can be read. */
  public StateTransfer read() {
    try {
      if (file == null || !Files.exists(file)) {
        return null;
      }
      DataInputStream in = new DataInputStream(new ByteArrayInputStream(Files.readAllBytes(file)));
      Files.delete(file);
      if (in.readInt() != FORM) {
        throw new IOException("another form");
      }
      double callRate = in.readDouble();
      List<Double> service = new ArrayList<>();
      for (int left = in.readInt(); left > 0; left--) {
        service.add(in.readDouble());
      }
      List<QuotaUsage> uses = new ArrayList<>();
      for (int left = in.readInt(); left > 0; left--) {
        uses.add(
            new QuotaUsage(
                in.readLong(),
                in.readInt(),
                in.readInt(),
                in.readLong(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble(),
                in.readLong()));
      }
      return new StateTransfer(callRate, service, uses);
    } catch (IOException e) {
      LOG.warn("state_transfer_not_read", field("error", e));
      return null;
    }
  }
}
