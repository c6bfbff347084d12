package edgegateway.testbed.scenario;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;

/**
 * The lab's YAML files: keys in kebab case, unknown ones refused, and what is wrong told in one
 * line with its place and key.
 */
public final class YamlFile {
  private static final ObjectMapper YAML =
      YAMLMapper.builder()
          .propertyNamingStrategy(PropertyNamingStrategies.KEBAB_CASE)
          .enable(
              DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES,
              DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
          .build();

  private YamlFile() {}

  /** Reads and checks a whole file. */
  public static <T> T read(Path file, Class<T> kind) throws Scenario.InvalidScenarioException {
    try {
      return parse(Files.readString(file), kind);
    } catch (IOException e) {
      throw new Scenario.InvalidScenarioException(file + " cannot be read: " + e.getMessage());
    }
  }

  /** The same of a text. */
  public static <T> T parse(String text, Class<T> kind) throws Scenario.InvalidScenarioException {
    try {
      return YAML.readValue(text, kind);
    } catch (JsonProcessingException e) {
      JsonLocation at = e.getLocation();
      Throwable cause = e;
      while (cause instanceof JsonProcessingException && cause.getCause() != null) {
        cause = cause.getCause();
      }
      String said =
          cause instanceof JsonProcessingException json
              ? json.getOriginalMessage()
              : cause.getMessage();
      throw new Scenario.InvalidScenarioException(
          "line "
              + (at == null ? "?" : at.getLineNr())
              + ": "
              + key(e)
              + (said.startsWith("Cannot map `null`")
                  ? "is missing"
                  : said.lines().findFirst().orElse("")));
    }
  }

  /** Where in the file's tree it is, as a prefix; empty where that is not known. */
  private static String key(JsonProcessingException e) {
    String key =
        e instanceof JsonMappingException mapping
            ? mapping.getPath().stream()
                .map(
                    one ->
                        one.getFieldName() == null
                            ? Integer.toString(one.getIndex())
                            : one.getFieldName())
                .collect(Collectors.joining("."))
            : "";
    return key.isEmpty() ? "" : key + " ";
  }
}
