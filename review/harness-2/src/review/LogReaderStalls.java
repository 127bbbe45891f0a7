package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The process that reads a gateway's output stands still for some seconds while requests come. */
public final class LogReaderStalls implements Case.Script {
    private static final long TIMEOUT_MILLIS = 1_500;
    private static final int REQUESTS = 1_300;
    private static final long PAUSE_MILLIS = 20;

    @Override
    public boolean run(Case.Setting setting) throws Exception {
        Record record = setting.record();
        Client client = new Client(record);
        Store store = new Store();
        for (int number = 0; number < 3; number++) {
            Plain desk = new Plain("d-" + number, "desk", "attica-" + "abc".charAt(number), record);
            store.put("servers/" + desk.id, desk.entry());
        }
        String status = Configurations.BOOKINGS.replace("bookings", "status").replace("\"unsafe\"", "\"safe\"");
        store.put("op/config", Configurations.of(1, status));
        Gateway gateway = new Gateway("front-attica-a-1", "attica-a", setting.root(), setting.temporary(), store.serve((key, value) -> value).address);
        Path pipe = setting.temporary().resolve("output");
        if (new ProcessBuilder("mkfifo", pipe.toString()).inheritIO().start().waitFor() != 0) throw new IllegalStateException("no pipe");
        Process reader = new ProcessBuilder("cat", pipe.toString()).redirectOutput(gateway.log().toFile()).start();
        Runtime.getRuntime().addShutdownHook(new Thread(reader::destroyForcibly));
        gateway.use(gateway.command().redirectErrorStream(true).redirectOutput(pipe.toFile()).start());
        if (!gateway.awaitReady(15_000)) throw new IllegalStateException(gateway.name + " isn't ready");
        Threads.sleep(3_500);

        if (setting.hasTrouble()) {
            record.say("the reader of the log stands still");
            new ProcessBuilder("kill", "-STOP", Long.toString(reader.pid())).start().waitFor();
        }
        List<CompletableFuture<Client.Answer>> answers = new ArrayList<>();
        for (int number = 0; number < REQUESTS; number++) {
            answers.add(client.send(gateway, "GET", "/status/" + number, "Api-Key: key\r\n", TIMEOUT_MILLIS, TIMEOUT_MILLIS + 500));
            Threads.sleep(PAUSE_MILLIS);
        }
        Threads.sleep(TIMEOUT_MILLIS + 1_000);
        long unanswered = answers.stream().map(CompletableFuture::join).filter(answer -> answer.status() == 0).count();
        int ready = gateway.readyStatus();
        record.say(unanswered + " of " + REQUESTS + " requests have no answer 500 ms after their timeout; readiness check: " + ready + " (0: no answer)");
        if (setting.hasTrouble()) {
            gateway.signal("TERM");
            gateway.awaitEnd(8_000);
            record.say("8 s after SIGTERM the process " + (gateway.isAlive() ? "still runs" : "has ended"));
            new ProcessBuilder("kill", "-CONT", Long.toString(reader.pid())).start().waitFor();
            gateway.awaitEnd(3_000);
            record.say("the reader goes on; the process " + (gateway.isAlive() ? "still runs" : "has ended"));
        }
        long lasting = answers.stream().map(CompletableFuture::join).filter(answer -> answer.status() == 0 || answer.status() == 504).count();
        boolean held = unanswered < 8 || unanswered * 4 <= lasting;
        record.say(held ? "CONFIG held" : "CONFIG broken: of " + lasting + " requests that last longer than their timeout, " + unanswered + " have no final answer");
        return held;
    }
}
