import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * A gateway gets SIGTERM while streams are running. Their callers use the same connections for their next streams, which the gateway accepts
 * and then cuts when it exits.
 */
final class KeptConnectionCut {
    private static final int CLIENTS = 6;
    private static final long TERM_AFTER_MILLIS = 1_000;
    /** Events of the first stream, and the pause before each in milliseconds: it ends 3.5 to 4 s after the SIGTERM. */
    private static final int FIRST_EVENTS = 19;
    private static final long FIRST_PAUSE = 250;
    /** Events of the second stream, and the pause before each: it lasts for 5.7 s, of the 10 s that its caller waits. */
    private static final int SECOND_EVENTS = 19;
    private static final long SECOND_PAUSE = 300;
    private static final int DEADLINE_MILLIS = 10_000;
    /** Requests sent up to this time after the SIGTERM may be cut in the last sixth of the grace time. */
    private static final double EXCUSED_SECONDS = 3.0;
    private static final String HEADERS = "Model: m\r\nToken-Counts: 5000,600\r\nPrompt-Prefix: 5c1e07a2:40,%s:4960\r\n";

    private KeptConnectionCut() {}

    /** What one client saw of its second request. */
    private record Second(String id, double sentAt, double endedAt, Client.Answer answer) {}

    public static void main(String[] arguments) {
        Deployment.play(arguments, KeptConnectionCut::run);
    }

    private static int run(Deployment deployment) throws Exception {
        deployment.configure(7, Deployment.route("quick", "/lohu930/", "streaming", "brush", DEADLINE_MILLIS, 2, true), Deployment.modelService("brush"));
        for (int number = 0; number < 4; number++) {
            deployment.runner("brush", 11, call -> {
                call.run();
                boolean isSecond = call.head.target().endsWith("/second");
                call.stream(isSecond ? SECOND_EVENTS : FIRST_EVENTS, isSecond ? SECOND_PAUSE : FIRST_PAUSE);
            });
        }
        deployment.startGateways(1);
        Gateway gateway = deployment.gateways.get(0);

        List<Second> seconds = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int number = 0; number < CLIENTS; number++) {
            long start = number * 40L;
            Deployment.daemon("client", () -> {
                try {
                    Thread.sleep(start);
                    Second second = client(deployment, gateway);
                    if (second != null) synchronized (seconds) {
                        seconds.add(second);
                    }
                } finally {
                    done.countDown();
                }
            });
        }
        Thread.sleep(TERM_AFTER_MILLIS);
        double termAt = deployment.record.seconds();
        if (Deployment.isTroubled()) {
            deployment.record.line("SIGTERM to the gateway");
            gateway.signal("TERM");
        }
        done.await();
        return judge(deployment, seconds, termAt);
    }

    private static Second client(Deployment deployment, Gateway gateway) throws Exception {
        try (Client client = new Client(gateway.callers, DEADLINE_MILLIS)) {
            String first = Client.newId();
            deployment.record.line("client sends " + first + ", its first request");
            client.send(Client.request("POST", "/lohu930/first", first, DEADLINE_MILLIS, String.format(HEADERS, first), "{}"));
            Client.Answer answer = client.read();
            deployment.record.line("client gets for " + first + ": " + answer + ", Connection: " + (answer.head == null ? null : answer.head.get("Connection")));
            if (!answer.isComplete || "close".equalsIgnoreCase(answer.head.get("Connection"))) return null;
            String id = Client.newId();
            double sentAt = deployment.record.seconds();
            deployment.record.line("client sends " + id + " on the same connection");
            try {
                client.send(Client.request("POST", "/lohu930/second", id, DEADLINE_MILLIS, String.format(HEADERS, id), "{}"));
            } catch (java.io.IOException closed) {
                deployment.record.line("client can't send " + id + ": the connection is closed");
                return null;
            }
            Client.Answer secondAnswer = client.read();
            deployment.record.line("client gets for " + id + ": " + secondAnswer);
            return new Second(id, sentAt, deployment.record.seconds(), secondAnswer);
        }
    }

    private static int judge(Deployment deployment, List<Second> seconds, double termAt) {
        int cut = 0;
        for (Second each : seconds) {
            boolean wasPassedOn = !deployment.runsOf(each.id).isEmpty();
            boolean isExcused = each.sentAt - termAt <= EXCUSED_SECONDS;
            if (each.answer.isComplete || !wasPassedOn || isExcused) continue;
            cut++;
            deployment.record.say(String.format("request %s, sent %.2f s after the SIGTERM, ran at a runner and was cut %.2f s after the SIGTERM: %s",
                each.id, each.sentAt - termAt, each.endedAt - termAt, each.answer));
        }
        deployment.record.say(cut + " of " + seconds.size() + " second requests were passed on to a runner and cut");
        if (seconds.isEmpty() && !Deployment.isTroubled()) return Deployment.NOT_RUN;
        return cut > 0 ? Deployment.BROKEN : Deployment.PASSED;
    }
}
