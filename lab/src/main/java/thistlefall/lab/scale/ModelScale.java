package thistlefall.lab.scale;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import thistlefall.lab.model.Model;
import thistlefall.lab.scale.ScaleFile.ModelSize;
import thistlefall.lab.scenario.Result;

/** Plays a size on virtual time. */
public final class ModelScale {
    private ModelScale() {
    }

    /** One play; {@code progress} hears how far it is. */
    public static Point play(ScaleFile file, ModelSize size, long seed, Consumer<String> progress) throws IOException, InterruptedException {
        Result result = Model.of(file.scenario(size, seed), line -> { });
        return new Point(Point.Side.MODEL, seed, size.key(), new TreeMap<>(Map.of("goodput-share", result.goodput())));
    }
}
