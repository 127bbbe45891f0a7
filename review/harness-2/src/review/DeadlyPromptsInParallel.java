package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

/** One part of prompts crashes each runner; its requests come six at a time, two at each machine, every six seconds. */
public final class DeadlyPromptsInParallel implements Case.Script {
    private static final int ENGINES = 24;
    private static final int BURSTS = 4;
    private static final int AT_ONCE = 6;
    private static final long PAUSE_MILLIS = 6_000;
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
            engine.deadlyPart = setting.hasTrouble() ? DEADLY : null;
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
        List<Gateway> gateways = new ArrayList<>();
        for (String zone : List.of("a", "b", "c")) {
            Gateway gateway =
                new Gateway("front-attica-" + zone + "-1", "attica-" + zone, setting.root(), setting.temporary(), store.serve((key, value) -> value).address);
            gateways.add(gateway);
            gateway.start();
        }
        for (Gateway gateway : gateways) if (!gateway.awaitReady(15_000)) throw new IllegalStateException(gateway.name + " isn't ready");
        Threads.sleep(4_000);

        List<CompletableFuture<Client.Answer>> sound = new CopyOnWriteArrayList<>();
        Thread traffic = Threads.start("sound", () -> {
            while (true) {
                sound.add(send(gateways, ""));
                Thread.sleep(100);
            }
        });
        Threads.sleep(3_000);
        for (int burst = 0; burst < BURSTS; burst++) {
            int before = arrivals.size();
            List<CompletableFuture<Client.Answer>> deadly = new ArrayList<>();
            for (int number = 0; number < AT_ONCE; number++) deadly.add(send(gateways, DEADLY + ":800,"));
            Threads.sleep(PAUSE_MILLIS);
            record.say("burst " + burst + ": " + AT_ONCE + " requests, " + (arrivals.size() - before) + " arrivals at runners, " + crashes.size()
                + " crashes so far");
        }
        traffic.interrupt();
        Threads.sleep(1_000);
        long lost = sound.stream().map(CompletableFuture::join).filter(answer -> !answer.isServed()).count();
        record.say("sound requests: " + sound.size() + ", not served: " + lost);
        if (!setting.hasTrouble()) return lost == 0;
        if (crashes.size() < 5) {
            record.say("BUDGET held: fewer than five crashes");
            return true;
        }
        long from = crashes.stream().sorted().toList().get(4) + STABLE_MILLIS;
        long late = arrivals.stream().filter(at -> at > from).count();
        record.say("requests with the deadly part that reached runners later than " + STABLE_MILLIS + " ms after the fifth crash: " + late);
        record.say(late > 3 ? "BUDGET broken: more than three" : "BUDGET held");
        return late <= 3;
    }

    private CompletableFuture<Client.Answer> send(List<Gateway> gateways, String part) {
        int number = ++prompts;
        Gateway gateway = gateways.get(number % gateways.size());
        String prefix = "5c1e07a2:40," + part + Integer.toHexString(0xe4000000 + number) + ":4120";
        return client.send(gateway, "POST", "/quotes/" + number, "Api-Key: key\r\nModel: m\r\nToken-Counts: 4960,80\r\nPrompt-Prefix: " + prefix + "\r\n", 10_000);
    }

    private static long millis() {
        return System.nanoTime() / 1_000_000;
    }
}
