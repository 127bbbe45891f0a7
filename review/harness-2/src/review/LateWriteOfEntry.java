package review;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** The store does one machine's first write late and doesn't answer it; later a part of prompts crashes runners. */
public final class LateWriteOfEntry implements Case.Script {
    private static final int ENGINES = 24;
    private static final long LATE_MILLIS = 3_000;
    private static final long BACK_MILLIS = 3_000;
    private static final long STABLE_MILLIS = 3_000;
    private static final String DEADLY = "bad0c0de";

    private Client client;
    private int prompts;

    @Override
    public boolean run(Case.Setting setting) throws Exception {
        Record record = setting.record();
        client = new Client(record);
        Store store = new Store();
        List<Long> crashes = new CopyOnWriteArrayList<>();
        List<Long> arrivals = new CopyOnWriteArrayList<>();
        for (int number = 0; number < ENGINES; number++) {
            Engine engine = new Engine("i-" + number, "llm", "attica-" + "abc".charAt(number % 3), record);
            engine.deadlyPart = DEADLY;
            engine.onArrival = parts -> {
                if (parts.contains(DEADLY)) arrivals.add(millis());
            };
            engine.onCrash = crashed -> {
                crashes.add(millis());
                Threads.start("back", () -> {
                    Thread.sleep(BACK_MILLIS);
                    crashed.restart();
                    store.put("servers/" + crashed.id, crashed.entry());
                });
            };
            store.put("servers/" + engine.id, engine.entry());
        }
        store.put("op/config", Configurations.of(1, Configurations.QUOTES));
        Http.Server late =
            setting.hasTrouble()
                ? store.serveWithLateWrite(LATE_MILLIS, () -> record.say("a write that was not answered is done " + LATE_MILLIS + " ms late"))
                : store.serve((key, value) -> value);
        Gateway forgotten = gateway("front-attica-a-1", "attica-a", setting, late.address);
        List<Gateway> others = List.of(
            gateway("front-attica-b-1", "attica-b", setting, store.serve((key, value) -> value).address),
            gateway("front-attica-c-1", "attica-c", setting, store.serve((key, value) -> value).address));
        List<Gateway> all = new ArrayList<>(others);
        all.add(forgotten);
        for (Gateway gateway : all) gateway.start();
        for (Gateway gateway : all) if (!gateway.awaitReady(15_000)) throw new IllegalStateException(gateway.name + " isn't ready");
        for (int second = 0; second < 24; second += 6) {
            Threads.sleep(6_000);
            record.say("machines in the store: " + store.count("yuccaferry/daemons/"));
        }

        for (int number = 0; number < 12; number++) {
            send(all.get(number % all.size()), "");
            Threads.sleep(100);
        }
        Threads.sleep(1_000);
        record.say("requests with the deadly part come at the other two machines");
        for (int number = 0; number < 5; number++) {
            for (int each = 0; each < 2; each++) others.forEach(other -> send(other, DEADLY + ":800,"));
            Threads.sleep(1_000);
        }
        record.say("crashes: " + crashes.size() + ", arrivals at runners: " + arrivals.size());
        if (crashes.size() < 5) throw new IllegalStateException("fewer than five crashes");
        Threads.sleep(2 * STABLE_MILLIS);
        long from = crashes.get(4) + STABLE_MILLIS;
        record.say("requests with the deadly part come at " + forgotten.name);
        for (int number = 0; number < 4; number++) {
            send(forgotten, DEADLY + ":800,");
            send(forgotten, DEADLY + ":800,");
            Threads.sleep(1_500);
        }
        long reached = arrivals.stream().filter(at -> at > from).count();
        record.say("requests with the deadly part that reached runners later than " + STABLE_MILLIS + " ms after the fifth crash: " + reached);
        record.say(reached > 3 ? "BUDGET broken: more than three" : "BUDGET held");
        return reached <= 3;
    }

    private static Gateway gateway(String name, String zone, Case.Setting setting, InetSocketAddress store) throws Exception {
        return new Gateway(name, zone, setting.root(), setting.temporary(), store);
    }

    private void send(Gateway gateway, String part) {
        int number = ++prompts;
        String prefix = "5c1e07a2:40," + part + Integer.toHexString(0xe4000000 + number) + ":4120";
        client.send(gateway, "POST", "/quotes/" + number, "Api-Key: key\r\nModel: m\r\nToken-Counts: 4960,80\r\nPrompt-Prefix: " + prefix + "\r\n", 10_000);
    }

    private static long millis() {
        return System.nanoTime() / 1_000_000;
    }
}
