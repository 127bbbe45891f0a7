package review;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** One machine of three is cut off for 5.5 s while it waits for the answers to long prompts on a route that was added later. */
public final class QuarantineOutlastsCut implements Case.Script {
    private static final int ENGINES = 12;
    private static final long CUT_MILLIS = 5_500;

    private Client client;
    private int prompts;

    @Override
    public boolean run(Case.Setting setting) throws Exception {
        Record record = setting.record();
        client = new Client(record);
        Store store = new Store();
        Link link = new Link();
        Map<String, String> throughLink = new HashMap<>();
        List<Engine> engines = new ArrayList<>();
        for (int number = 0; number < ENGINES; number++) {
            Engine engine = new Engine("i-" + number, "llm", "attica-" + "abc".charAt(number % 3), record);
            engines.add(engine);
            throughLink.put(engine.server.hostPort(), hostPort(link.to(engine.server.address)));
        }
        // The first machine reaches all others over its link, and they reach it over the same link.
        Map<String, String> fromOthers = new HashMap<>();
        Http.Server cutStore = store.serve((key, value) -> replaceAll(value, throughLink));
        Http.Server otherStore = store.serve((key, value) -> replaceAll(value, fromOthers));
        Gateway cut = new Gateway("front-attica-a-1", "attica-a", setting.root(), setting.temporary(), link.to(cutStore.address));
        List<Gateway> others = List.of(
            new Gateway("front-attica-b-1", "attica-b", setting.root(), setting.temporary(), otherStore.address),
            new Gateway("front-attica-c-1", "attica-c", setting.root(), setting.temporary(), otherStore.address));
        fromOthers.put(hostPort(cut.peers) + " ", hostPort(link.toDatagrams(cut.peers)) + " ");
        for (Gateway other : others) throughLink.put(hostPort(other.peers) + " ", hostPort(link.toDatagrams(other.peers)) + " ");
        List<Gateway> all = new ArrayList<>(others);
        all.add(0, cut);

        store.put("op/config", Configurations.of(1, Configurations.QUOTES));
        for (Engine engine : engines) store.put("servers/" + engine.id, engine.entry());
        for (Gateway gateway : all) gateway.start();
        for (Gateway gateway : all) if (!gateway.awaitReady(15_000)) throw new IllegalStateException(gateway.name + " isn't ready");
        Threads.sleep(3_000);
        store.put("op/config", Configurations.of(2, Configurations.QUOTES, Configurations.PORTFOLIOS));
        Threads.sleep(2_500);

        record.say("before: portfolios " + served(round(all, 6, true)) + " of 6, quotes " + served(round(all, 6, false)) + " of 6 served");
        Threads.sleep(1_000);

        List<CompletableFuture<Client.Answer>> atCut = new ArrayList<>();
        for (int number = 0; number < 8; number++) {
            atCut.add(portfolio(cut));
            Threads.sleep(300);
        }
        if (setting.hasTrouble()) {
            record.say(cut.name + " is cut off for " + CUT_MILLIS + " ms");
            link.cut();
            Threads.sleep(CUT_MILLIS);
            link.heal();
            record.say(cut.name + " is back");
        }
        record.say("portfolios under way at the cut: " + served(atCut) + " of 8 served");
        Threads.sleep(6_000);
        record.say("ready: " + all.stream().map(Gateway::readyStatus).toList());

        List<CompletableFuture<Client.Answer>> quotes = round(all, 24, false);
        List<CompletableFuture<Client.Answer>> portfolios = round(all, 24, true);
        double later = served(portfolios) / 24.0;
        double first = served(quotes) / 24.0;
        record.say("after: portfolios (added later) " + served(portfolios) + " of 24, quotes (first route) " + served(quotes) + " of 24 served");
        if (first < 0.5) throw new IllegalStateException("the first route isn't served either");
        boolean held = later >= first / 4;
        record.say(held ? "CONFIG held" : "CONFIG broken: the route that was added later is served less than a quarter as often");
        return held;
    }

    /** Sends {@code count} requests to the gateways in turn, on the later route or the first one. */
    private List<CompletableFuture<Client.Answer>> round(List<Gateway> gateways, int count, boolean isLater) {
        List<CompletableFuture<Client.Answer>> answers = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            Gateway gateway = gateways.get(number % gateways.size());
            answers.add(isLater ? portfolio(gateway) : quote(gateway));
            Threads.sleep(isLater ? 450 : 50);
        }
        return answers;
    }

    private CompletableFuture<Client.Answer> portfolio(Gateway gateway) {
        return client.send(gateway, "POST", "/portfolios/" + ++prompts, prompt("5c1e07a2", 150_000), 15_000);
    }

    private CompletableFuture<Client.Answer> quote(Gateway gateway) {
        return client.send(gateway, "POST", "/quotes/" + ++prompts, prompt("91bd3f06", 4_960), 10_000);
    }

    private String prompt(String shared, int tokens) {
        return "Api-Key: key\r\nModel: m\r\nToken-Counts: " + (tokens + 40) + ",80\r\nPrompt-Prefix: " + shared + ":40," + Integer.toHexString(0xe4000000 + prompts)
            + ":" + tokens + "\r\n";
    }

    private static long served(List<CompletableFuture<Client.Answer>> answers) {
        return answers.stream().map(CompletableFuture::join).filter(Client.Answer::isServed).count();
    }

    private static String hostPort(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }

    private static String replaceAll(String value, Map<String, String> addresses) {
        String replaced = value;
        for (Map.Entry<String, String> entry : addresses.entrySet()) replaced = replaced.replace(entry.getKey(), entry.getValue());
        return replaced;
    }
}
