import java.io.IOException;

/**
 * Another writer puts bytes under the runners' keys that can't be read. From then on no gateway follows the store: a configuration that comes
 * later is never in force.
 */
final class UnreadableEntry {
    private static final int GATEWAYS = 3;
    private static final int RUNNERS = 3;
    /** Bytes of the entry after its first field's name; the store takes values of 1,048,576 bytes. */
    private static final int ENTRY_BYTES = 10_000;
    /** Time between the entry and the operator's change. */
    private static final long PAUSE_MILLIS = 5_000;
    /** The bound of configurations; the gateways are asked for the first time after twice that. */
    private static final long APPLY_MILLIS = 2_000;
    private static final int CHECKS = 5;
    private static final long CHECK_PAUSE_MILLIS = 3_000;
    private static final int DEADLINE_MILLIS = 1_500;

    private UnreadableEntry() {}

    public static void main(String[] arguments) {
        Deployment.play(arguments, UnreadableEntry::run);
    }

    private static int run(Deployment deployment) throws Exception {
        String lasting = Deployment.route("booking", "/puxa403/", "unsafe", "desk", DEADLINE_MILLIS, 1, false);
        String dropped = Deployment.route("dropped", "/cufi504/", "unsafe", "desk", DEADLINE_MILLIS, 1, false);
        String added = Deployment.route("added", "/lohu930/", "unsafe", "desk", DEADLINE_MILLIS, 1, false);
        deployment.configure(7, lasting + "," + dropped, Deployment.plainService("desk"));
        for (int number = 0; number < RUNNERS; number++) {
            deployment.runner("desk", 6, call -> {
                call.run();
                call.pause(20);
                call.answer(200, "booked");
            });
        }
        deployment.startGateways(GATEWAYS);

        if (Deployment.isTroubled()) {
            deployment.store.put("servers/i-0badbeef", "{\"service\":" + "[".repeat(ENTRY_BYTES));
            deployment.record.line("another writer puts an entry of " + ENTRY_BYTES + " bytes that can't be read");
        }
        Thread.sleep(PAUSE_MILLIS);
        deployment.configure(8, lasting + "," + added, Deployment.plainService("desk"));
        double acknowledgedAt = deployment.record.seconds();
        deployment.record.line("the store acknowledges version 8, without the route /cufi504/ and with /lohu930/");
        Thread.sleep(2 * APPLY_MILLIS);

        int stale = 0;
        for (int check = 0; check < CHECKS; check++) {
            int staleNow = 0;
            for (Gateway gateway : deployment.gateways) if (isStale(deployment, gateway)) staleNow++;
            deployment.record.say(String.format("%.1f s after the acknowledgement %d of %d gateways act on version 7; %d report themselves ready",
                deployment.record.seconds() - acknowledgedAt, staleNow, GATEWAYS, deployment.gateways.stream().filter(Gateway::isReady).count()));
            stale += staleNow;
            Thread.sleep(CHECK_PAUSE_MILLIS);
        }
        return stale > 0 ? Deployment.BROKEN : Deployment.PASSED;
    }

    /** Returns whether the gateway lets a request on the dropped route run, or refuses one on the added route as unknown. */
    private static boolean isStale(Deployment deployment, Gateway gateway) throws IOException {
        String onDropped = ask(deployment, gateway, "/cufi504/2f").id;
        return !deployment.runsOf(onDropped).isEmpty() | ask(deployment, gateway, "/lohu930/2f").answer.status == 404;
    }

    private static Asked ask(Deployment deployment, Gateway gateway, String path) throws IOException {
        String id = Client.newId();
        try (Client client = new Client(gateway.callers, DEADLINE_MILLIS)) {
            client.send(Client.request("POST", path, id, DEADLINE_MILLIS, "", "{}"));
            Client.Answer answer = client.read();
            deployment.record.line("client sends " + id + " to " + path + ", and gets: " + answer + ", runs: " + deployment.runsOf(id));
            return new Asked(id, answer);
        }
    }

    private record Asked(String id, Client.Answer answer) {}
}
