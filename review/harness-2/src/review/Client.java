package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends single requests, each on a connection of its own. */
final class Client {
    private static final AtomicInteger NEXT = new AtomicInteger();
    static final String HOST = "desk.example";

    /** Status of the answer, 0 if the connection ended or nothing came in time, and whether its body is complete. */
    record Answer(String attempt, int status, boolean isComplete, String body) {
        boolean isServed() {
            return status == 200 && isComplete;
        }
    }

    private final Record record;

    Client(Record record) {
        this.record = record;
    }

    /** Sends a request with the further {@code headers} to {@code gateway} and returns its answer later. */
    CompletableFuture<Answer> send(Gateway gateway, String method, String path, String headers, long timeoutMillis) {
        return send(gateway, method, path, headers, timeoutMillis, timeoutMillis);
    }

    /** Like {@link #send}, but waits for {@code waitMillis} whatever the request says. */
    CompletableFuture<Answer> send(Gateway gateway, String method, String path, String headers, long timeoutMillis, long waitMillis) {
        String attempt = String.format("%016x", 0x9c41d07be2a30000L + NEXT.incrementAndGet());
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        Threads.start("client", () -> {
            record.write("client sends " + attempt + " on " + path + " to " + gateway.name);
            Answer received = exchange(gateway, attempt, method, path, headers, timeoutMillis, waitMillis);
            record.write("client has " + received.status + (received.isComplete ? "" : " incomplete") + " for " + attempt + " from " + gateway.name);
            answer.complete(received);
        });
        return answer;
    }

    private static Answer exchange(Gateway gateway, String attempt, String method, String path, String headers, long timeoutMillis, long waitMillis) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int status = 0;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", gateway.callers), 1_000);
            socket.setSoTimeout((int) waitMillis);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nAttempt-Id: " + attempt + "\r\nTime-Remaining: " + timeoutMillis
                + "\r\nContent-Length: 0\r\n" + headers + "\r\n";
            Http.write(socket, head.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message answer = Http.readHead(in);
            if (answer == null) return new Answer(attempt, 0, false, "");
            status = Integer.parseInt(answer.word(1));
            String length = answer.header("Content-Length");
            if (length != null) {
                byte[] whole = in.readNBytes(Integer.parseInt(length));
                return new Answer(attempt, status, whole.length == Integer.parseInt(length), new String(whole, StandardCharsets.UTF_8));
            }
            for (byte[] chunk = Http.readChunk(in); chunk != null; chunk = Http.readChunk(in)) body.writeBytes(chunk);
            return new Answer(attempt, status, true, body.toString(StandardCharsets.UTF_8));
        } catch (IOException ended) {
            return new Answer(attempt, status, false, body.toString(StandardCharsets.UTF_8));
        }
    }
}
