package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Another writer replaces the entry of a runner by one that lacks fields and names another service, until the next beat of the runner, three times. */
public final class EntryWithMissingFields implements Case.Script {
    private static final int BOOKINGS = 200;
    private static final long PAUSE_MILLIS = 40;
    private static final long HEARTBEAT_MILLIS = 1_200;

    @Override
    public boolean run(Case.Setting setting) throws Exception {
        Record record = setting.record();
        Client client = new Client(record);
        Store store = new Store();
        Plain desk = new Plain("d-0", "desk", "attica-a", record);
        Plain other = new Plain("i-0", "llm", "attica-a", record);
        for (Plain runner : List.of(desk, other)) {
            store.put("servers/" + runner.id, runner.entry());
            Threads.start("beat", () -> {
                while (true) {
                    Thread.sleep(HEARTBEAT_MILLIS);
                    if (store.beat("servers/" + runner.id, runner.entry())) record.say("the beat of " + runner.id + " puts its own entry again");
                }
            });
        }
        store.put("op/config", Configurations.of(1, Configurations.BOOKINGS));
        Gateway gateway = new Gateway("front-attica-a-1", "attica-a", setting.root(), setting.temporary(), store.serve((key, value) -> value).address);
        gateway.start();
        if (!gateway.awaitReady(15_000)) throw new IllegalStateException(gateway.name + " isn't ready");
        Threads.sleep(4_000);
        List<CompletableFuture<Client.Answer>> answers = new ArrayList<>();
        for (int number = 0; number < BOOKINGS; number++) {
            if (setting.hasTrouble() && number > 0 && number % (BOOKINGS / 4) == 0) {
                String entry = other.entry().replace("\"service\":\"llm\"", "\"service\":\"desk\"").replace("\"version\":\"v1\",", "").replace(",\"sequence\":0", "");
                store.put("servers/" + other.id, entry);
                record.say("another writer puts servers/" + other.id + ": " + entry);
            }
            answers.add(client.send(gateway, "POST", "/bookings/" + number, "Api-Key: key\r\n", 1_500));
            Threads.sleep(PAUSE_MILLIS);
        }
        long served = answers.stream().map(CompletableFuture::join).filter(Client.Answer::isServed).count();
        record.say(served + " of " + BOOKINGS + " bookings served, " + other.runs.size() + " of them run by the runner of another service");
        return other.runs.isEmpty();
    }
}
