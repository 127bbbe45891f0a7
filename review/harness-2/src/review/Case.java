package review;

import java.nio.file.Files;
import java.nio.file.Path;

/** Runs one case: {@code Case NAME FOLDER ROOT}. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. */
public final class Case {
    private Case() {}

    /** What a case needs. */
    record Setting(Path root, Path temporary, Record record, boolean hasTrouble) {}

    /** A case; returns whether the rule held. */
    interface Script {
        boolean run(Setting setting) throws Exception;
    }

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[1]);
        Record record = new Record(folder);
        Path temporary = Files.createTempDirectory("review");
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Runtime.getRuntime().addShutdownHook(new Thread(Gateway::endAll));
        Threads.start("limit", () -> {
            Thread.sleep(115_000);
            record.say("the case took too long");
            Gateway.endAll();
            Runtime.getRuntime().halt(2);
        });
        int status = 2;
        try {
            Script script = (Script) Class.forName("review." + arguments[0]).getDeclaredConstructor().newInstance();
            status = script.run(new Setting(Path.of(arguments[2]), temporary, record, hasTrouble)) ? 0 : 1;
        } catch (Exception failure) {
            record.say("the case couldn't run: " + failure);
            failure.printStackTrace();
        }
        Gateway.endAll();
        if (System.getenv("KEEP") == null) deleteAll(temporary);
        else System.out.println("kept " + temporary);
        System.exit(status);
    }

    private static void deleteAll(Path folder) throws Exception {
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) Files.delete(file);
        }
        Files.delete(folder);
    }
}
