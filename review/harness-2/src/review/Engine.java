package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;

/** A runner of a language model: reads one prompt after the other at the speed that the configuration states, and writes events. */
final class Engine {
    private static final double TOKENS_PER_MILLI = 154;
    private static final double MILLIS_PER_MILLION_PAIRS = 0.162;
    private static final int EVENTS = 8;
    static final long PASS_MILLIS = 45;

    final String id;
    private final String service;
    private final String zone;
    private final Record record;
    private volatile long born = System.currentTimeMillis();
    private volatile Semaphore reader = new Semaphore(1, true);

    /** Milliseconds between two events. */
    volatile long pauseMillis = PASS_MILLIS;

    /** Part of prompts that crashes this runner when it begins to answer; null if there is none. */
    volatile String deadlyPart;

    /** Called with the parts of each request that arrives. */
    volatile Consumer<String> onArrival = parts -> {};

    private boolean isDown;

    /** Called with this runner after it has crashed. */
    volatile Consumer<Engine> onCrash = engine -> {};
    final Http.Server server = new Http.Server(this::handle);

    Engine(String id, String service, String zone, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.record = record;
    }

    /** Returns the entry of this runner in the store. */
    String entry() {
        return "{\"service\":\"" + service + "\",\"address\":\"" + server.hostPort() + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":8,"
            + "\"state\":\"ready\",\"cold-remaining-ms\":0,\"born\":" + born + ",\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,"
            + "\"adapters\":[]}],\"sequence\":0}";
    }

    private synchronized void crash() throws IOException {
        if (isDown) return;
        isDown = true;
        server.crash();
        record.write("runner " + id + " crashes");
        onCrash.accept(this);
    }

    /** Starts this runner again under its id. */
    synchronized void restart() throws IOException {
        born = System.currentTimeMillis();
        reader = new Semaphore(1, true);
        isDown = false;
        server.restart();
        record.write("runner " + id + " is back");
    }

    private boolean handle(Http.Message request, Socket socket) throws IOException, InterruptedException {
        if (request.word(1).equals("/-/report")) {
            String report = "{\"stage\":\"both\",\"busy\":false,\"sequence\":0,\"queue-depth\":0,\"active-requests\":0,\"kv-cache-used\":0,"
                + "\"kv-cache-total\":405000,\"handles\":0,\"tickets\":[],\"born\":" + born + "}";
            Http.send(socket, 200, "Content-Type: application/json\r\n", report.getBytes(StandardCharsets.UTF_8));
            return true;
        }
        String attempt = request.header("Attempt-Id");
        String own = "Attempt-Id: " + attempt + "\r\n";
        if (!id.equals(request.header("Expected-Instance"))) {
            Http.send(socket, 421, own + "Not-Executed: 1\r\n", new byte[0]);
            return true;
        }
        String parts = request.headers().getOrDefault("prompt-prefix", "");
        boolean isDeadly = deadlyPart != null && parts.contains(deadlyPart + ":");
        record.write("runner " + id + " has request " + attempt + " on " + request.word(1) + (isDeadly ? ", deadly" : ""));
        onArrival.accept(parts);
        double tokens = Double.parseDouble(request.header("Token-Counts").split(",")[0]);
        double millis = tokens / TOKENS_PER_MILLI + tokens * tokens / 2 / 1e6 * MILLIS_PER_MILLION_PAIRS;
        Semaphore turn = reader;
        turn.acquire();
        try {
            Thread.sleep((long) millis);
        } finally {
            turn.release();
        }
        Thread.sleep(PASS_MILLIS);
        if (isDeadly) {
            crash();
            return false;
        }
        Http.startChunked(socket, 200, own + "Response-Signature: signed-by-" + id + "\r\nContent-Type: text/event-stream\r\n");
        int first = Integer.parseInt(request.headers().getOrDefault("last-event-id", "0")) + 1;
        for (int number = first; number <= EVENTS; number++) {
            Http.sendChunk(socket, ("id: " + number + "\ndata: " + attempt + "\n\n").getBytes(StandardCharsets.UTF_8));
            Thread.sleep(pauseMillis);
        }
        Http.write(socket, "0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        record.write("runner " + id + " ends request " + attempt);
        return true;
    }
}
