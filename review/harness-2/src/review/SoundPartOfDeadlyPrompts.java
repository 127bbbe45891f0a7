package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

/** A part of prompts crashes each runner; its requests have a document in common with sound ones, which come later. */
public final class SoundPartOfDeadlyPrompts implements Case.Script {
    private static final int ENGINES = 24;
    private static final long BACK_MILLIS = 3_000;
    private static final long STABLE_MILLIS = 3_000;
    private static final int SOUND = 24;
    private static final String SYSTEM_PROMPT = "5c1e07a2:800";
    private static final String DEADLY = "bad0c0de";
    private static final String EARLIER_DOCUMENT = "91bd3f06:1200";
    private static final String DOCUMENT = "91bd3f07:1200";

    private Client client;
    private int prompts;

    @Override
    public boolean run(Case.Setting setting) throws Exception {
        Record record = setting.record();
        client = new Client(record);
        Store store = new Store();
        List<Long> crashes = new CopyOnWriteArrayList<>();
        for (int number = 0; number < ENGINES; number++) {
            Engine engine = new Engine("i-" + number, "llm", "attica-" + "abc".charAt(number % 3), record);
            engine.deadlyPart = setting.hasTrouble() ? DEADLY : null;
            engine.onCrash = crashed -> {
                crashes.add(System.nanoTime() / 1_000_000);
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

        long before = begun(round(gateways, SOUND, SYSTEM_PROMPT + "," + EARLIER_DOCUMENT, 100));
        record.say("before: " + before + " of " + SOUND + " sound requests begin");
        Threads.sleep(1_000);
        record.say("requests with the deadly part come, on another document");
        for (int number = 0; number < 5; number++) {
            send(gateways, DEADLY + ":800," + DOCUMENT);
            Threads.sleep(1_000);
        }
        record.say("crashes: " + crashes.size());
        Threads.sleep(2 * STABLE_MILLIS);
        List<CompletableFuture<Client.Answer>> sound = new ArrayList<>();
        int crashesBefore = crashes.size();
        for (int number = 0; number < SOUND; number++) {
            if (number % 6 == 0) send(gateways, DEADLY + ":800," + DOCUMENT);
            sound.addAll(round(gateways, 1, SYSTEM_PROMPT + "," + DOCUMENT, 400));
        }
        long after = begun(sound);
        record.say("after: " + after + " of " + SOUND + " sound requests with that document begin, further crashes: " + (crashes.size() - crashesBefore));
        if (before < SOUND / 2) throw new IllegalStateException("sound requests don't begin before either");
        boolean held = after * 2 >= before;
        record.say(held ? "LOST held" : "LOST broken: sound requests with the same key begin less than half as often");
        return held;
    }

    private List<CompletableFuture<Client.Answer>> round(List<Gateway> gateways, int count, String parts, long pauseMillis) {
        List<CompletableFuture<Client.Answer>> answers = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            answers.add(send(gateways, parts));
            Threads.sleep(pauseMillis);
        }
        return answers;
    }

    private CompletableFuture<Client.Answer> send(List<Gateway> gateways, String parts) {
        int number = ++prompts;
        Gateway gateway = gateways.get(number % gateways.size());
        String prefix = parts + "," + Integer.toHexString(0xe4000000 + number) + ":2960";
        return client.send(gateway, "POST", "/quotes/" + number, "Api-Key: key\r\nModel: m\r\nToken-Counts: 4960,80\r\nPrompt-Prefix: " + prefix + "\r\n", 10_000);
    }

    private static long begun(List<CompletableFuture<Client.Answer>> answers) {
        return answers.stream().map(CompletableFuture::join).filter(answer -> answer.status() == 200).count();
    }
}
