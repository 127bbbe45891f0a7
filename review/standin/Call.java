import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Locale;

/** One request at a runner. */
final class Call {
    final Deployment deployment;
    final Runner runner;
    final Http.Head head;
    final OutputStream out;
    private final Socket connection;

    Call(Deployment deployment, Runner runner, Http.Head head, OutputStream out, Socket connection) {
        this.deployment = deployment;
        this.runner = runner;
        this.head = head;
        this.out = out;
        this.connection = connection;
    }

    String id() {
        return head.get("Attempt-Id");
    }

    /** Records that the runner begins to work on the request. */
    void run() {
        deployment.recordRun(id(), runner.id, head.startLine);
    }

    /** Waits; throws an exception if the gateway closes the connection, since the request is dropped then. */
    void pause(long millis) throws Exception {
        long end = System.nanoTime() + millis * 1_000_000;
        for (long left = millis; left > 0; left = (end - System.nanoTime()) / 1_000_000) {
            connection.setSoTimeout((int) left);
            try {
                if (connection.getInputStream().read() < 0) throw new IOException("connection closed");
            } catch (SocketTimeoutException over) {
                break;
            }
        }
        connection.setSoTimeout(0);
    }

    /** Sends a complete answer with the runner's signature. */
    void answer(int status, String text) throws IOException {
        deployment.record.line("runner " + runner.id + " answers " + id() + " with " + status);
        out.write(Http.bytes("HTTP/1.1 " + status + " X\r\n" + signature(id()) + "Content-Length: " + text.length() + "\r\n\r\n" + text));
        out.flush();
    }

    /** Sends a stream of events, after those that the caller has: the first one at once, and the others with a pause before each. */
    void stream(int events, long pauseMillis) throws Exception {
        String after = head.get("Last-Event-Id");
        int first = after == null ? 1 : Integer.parseInt(after) + 1;
        out.write(Http.bytes("HTTP/1.1 200 OK\r\n" + signature(id()) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        for (int event = first; event <= events; event++) {
            if (event > first) pause(pauseMillis);
            String text = "id: " + event + "\ndata: " + id() + " piece " + event + "\n\n";
            out.write(Http.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
            out.flush();
        }
        out.write(Http.bytes("0\r\n\r\n"));
        out.flush();
        deployment.record.line("runner " + runner.id + " ends the stream " + id());
    }

    static String signature(String id) {
        return "Attempt-Id: " + id + "\r\nResponse-Signature: " + String.format(Locale.ROOT, "%08x", id.hashCode()) + "\r\n";
    }
}
