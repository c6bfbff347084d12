package edgegateway.testbed.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * All plays of one command.
 *
 * @param file what was played
 * @param date of the first play, such as 2026-12-02
 * @param command as it was typed
 */
public record ScaleResult(ScaleFile file, String date, String command, List<MeasuredPoint> points) {
  /** Its name in a folder. */
  public static final String NAME = "scale.json";

  private static final ObjectMapper JSON =
      JsonMapper.builder()
          .propertyNamingStrategy(PropertyNamingStrategies.KEBAB_CASE)
          .enable(SerializationFeature.INDENT_OUTPUT)
          .build();

  /** Writes it into a folder, which is made if need be. */
  public void write(Path folder) throws IOException {
    JSON.writeValue(Files.createDirectories(folder).resolve(NAME).toFile(), this);
  }

  /** Reads what {@link #write} wrote into a folder. */
  public static ScaleResult read(Path folder) throws IOException {
    return JSON.readValue(folder.resolve(NAME).toFile(), ScaleResult.class);
  }
}
