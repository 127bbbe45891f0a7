import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: a line for each event, with the seconds since the start. */
final class Record {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path folder) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    }

    synchronized void line(String text) {
        out.println(String.format(Locale.ROOT, "%8.3f %s", seconds(), text));
    }

    /** Like {@link #line}, and also on standard output. */
    void say(String text) {
        line(text);
        System.out.println(text);
    }

    double seconds() {
        return (System.nanoTime() - start) / 1e9;
    }
}
