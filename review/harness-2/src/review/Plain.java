package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A runner of a plain service. */
final class Plain {
    final String id;
    private final String service;
    private final String zone;
    private final Record record;
    private final long born = System.currentTimeMillis();

    /** Ids of the requests that it ran. */
    final List<String> runs = new CopyOnWriteArrayList<>();
    final Http.Server server = new Http.Server(this::handle);

    Plain(String id, String service, String zone, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.record = record;
    }

    String entry() {
        return "{\"service\":\"" + service + "\",\"address\":\"" + server.hostPort() + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":6,"
            + "\"state\":\"ready\",\"cold-remaining-ms\":0,\"born\":" + born + ",\"sequence\":0}";
    }

    private boolean handle(Http.Message request, Socket socket) throws IOException, InterruptedException {
        String attempt = request.header("Attempt-Id");
        String own = "Attempt-Id: " + attempt + "\r\n";
        if (!id.equals(request.header("Expected-Instance"))) {
            Http.send(socket, 421, own + "Not-Executed: 1\r\n", new byte[0]);
            return true;
        }
        record.write("runner " + id + " of " + service + " runs " + attempt + " on " + request.word(1));
        runs.add(attempt);
        Thread.sleep(20);
        Http.send(socket, 200, own + "Response-Signature: signed-by-" + id + "\r\n", ("booked " + attempt).getBytes(StandardCharsets.UTF_8));
        return true;
    }
}
