package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** One runner of three takes no new connections for 1.5 s while it goes on with its streams, whose events come every 0.9 s. */
public final class FullQueueOfConnections implements Case.Script {
    private static final int STREAMS = 24;
    private static final long FULL_MILLIS = 1_500;

    @Override
    public boolean run(Case.Setting setting) throws Exception {
        Record record = setting.record();
        Client client = new Client(record);
        Store store = new Store();
        Link link = new Link();
        Map<String, String> throughLink = new HashMap<>();
        for (int number = 0; number < 3; number++) {
            Engine engine = new Engine("i-" + number, "llm", "attica-" + "abc".charAt(number), record);
            engine.pauseMillis = 900;
            if (number == 0) throughLink.put(engine.server.hostPort(), "127.0.0.1:" + link.to(engine.server.address).getPort());
            store.put("servers/" + engine.id, engine.entry());
        }
        String route = Configurations.PORTFOLIOS.replace("\"stream-resumption\":true", "\"stream-resumption\":false");
        store.put("op/config", Configurations.of(1, route));
        Http.Server seen = store.serve((key, value) -> {
            String replaced = value;
            for (Map.Entry<String, String> entry : throughLink.entrySet()) replaced = replaced.replace(entry.getKey(), entry.getValue());
            return replaced;
        });
        Gateway gateway = new Gateway("front-attica-a-1", "attica-a", setting.root(), setting.temporary(), seen.address);
        gateway.start();
        if (!gateway.awaitReady(15_000)) throw new IllegalStateException(gateway.name + " isn't ready");
        Threads.sleep(4_000);

        List<CompletableFuture<Client.Answer>> streams = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            String prompt = "Api-Key: key\r\nModel: m\r\nToken-Counts: 540,80\r\nPrompt-Prefix: 5c1e07a2:40," + Integer.toHexString(0xe4000000 + number) + ":500\r\n";
            streams.add(client.send(gateway, "POST", "/portfolios/" + number, prompt, 15_000));
            Threads.sleep(30);
        }
        Threads.sleep(600);
        if (setting.hasTrouble()) {
            link.fillQueues();
            Threads.sleep(FULL_MILLIS);
            link.emptyQueues();
        }
        long cut = streams.stream().map(CompletableFuture::join).filter(answer -> answer.status() == 200 && !answer.isComplete()).count();
        record.say(cut + " of " + STREAMS + " streams were cut");
        return cut <= 3;
    }
}
