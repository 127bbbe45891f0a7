package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line for each event, with the milliseconds since its start. */
final class Record {
    private final long start = System.nanoTime();
    private final PrintWriter out;

    Record(Path folder) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    }

    synchronized void write(String line) {
        out.printf("%6d %s%n", (System.nanoTime() - start) / 1_000_000, line);
    }

    /** Writes {@code line} and prints it. */
    void say(String line) {
        write(line);
        System.out.println(line);
    }
}
