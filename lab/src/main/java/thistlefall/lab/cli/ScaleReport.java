package thistlefall.lab.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import thistlefall.lab.scale.ScaleResult;
import thistlefall.lab.scale.ScaleTables;

/** The tables of plays that were played before. */
@Command(name = "report", mixinStandardHelpOptions = true, description = "Prints the tables of results in Markdown.")
final class ScaleReport implements Callable<Integer> {
    @Parameters(paramLabel = "DIR", arity = "1..*", description = "folders with a scale.json each")
    private List<Path> folders;

    @Override
    public Integer call() {
        List<ScaleResult> results = new ArrayList<>();
        for (Path folder : folders) {
            try {
                results.add(ScaleResult.read(folder));
            } catch (IOException e) {
                System.err.println(folder + ": " + e.getMessage().lines().findFirst().orElse(""));
                return 2;
            }
        }
        System.out.print(ScaleTables.of(results));
        return 0;
    }
}
