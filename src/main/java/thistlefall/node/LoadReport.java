package thistlefall.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads the load report that an answer of an archive server may carry. */
final class LoadReport {
    static final String HEADER = "Endpoint-Load-Metrics";
    private static final String FORM = "TEXT ";

    private LoadReport() {
    }

    /** The values of these names in their order; empty if there is no report, or one that can't be believed. */
    static List<Double> read(String text, List<String> names) {
        if (text == null || !text.startsWith(FORM)) {
            return List.of();
        }
        Map<String, String> told = new HashMap<>();
        for (String pair : text.substring(FORM.length()).split(",")) {
            int at = pair.indexOf('=');
            if (at < 0 || told.put(pair.substring(0, at).trim(), pair.substring(at + 1).trim()) != null) {
                return List.of();
            }
        }
        List<Double> values = new ArrayList<>();
        for (String name : names) {
            try {
                double value = Double.parseDouble(told.getOrDefault(name, ""));
                if (!Double.isFinite(value) || value < 0) {
                    return List.of();
                }
                values.add(value);
            } catch (NumberFormatException e) {
                return List.of();
            }
        }
        return values;
    }
}
