import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** One connection of a client, which may be used for several requests. */
final class Client implements AutoCloseable {
    /** What a client saw of one request. */
    static final class Answer {
        /** Status; 0 if the connection ended before a head. */
        int status;
        Http.Head head;
        byte[] body = new byte[0];
        /** Whether the whole answer arrived. */
        boolean isComplete;
        String failure = "";

        @Override
        public String toString() {
            if (status == 0) return "no answer: " + failure;
            return status + (isComplete ? ", complete, " : ", cut: " + failure + ", ") + body.length + " bytes";
        }
    }

    private static final AtomicInteger NUMBERS = new AtomicInteger((int) (System.nanoTime() & 0xffffff));

    private final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    Client(InetSocketAddress address, int patienceMillis) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(address, 1_000);
        socket.setSoTimeout(patienceMillis);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    /** Returns an id that no other request has. */
    static String newId() {
        return String.format("%016x", 0x9c41d07b00000000L + NUMBERS.incrementAndGet());
    }

    /** Returns a request with a body; {@code headers} are lines that end with CRLF. */
    static String request(String method, String path, String id, long millis, String headers, String body) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nAttempt-Id: " + id + "\r\nTime-Remaining: " + millis
            + "\r\nApi-Key: " + Deployment.KEY + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    void send(String request) throws IOException {
        out.write(Http.bytes(request));
        out.flush();
    }

    /** Reads the answer to the last request, as far as it arrives. */
    Answer read() {
        Answer answer = new Answer();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            Http.Head head = Http.readHead(in);
            if (head == null) {
                answer.failure = "connection closed";
                return answer;
            }
            answer.head = head;
            answer.status = head.status();
            if ("chunked".equalsIgnoreCase(head.get("Transfer-Encoding"))) {
                for (byte[] chunk = Http.readChunk(in); chunk.length > 0; chunk = Http.readChunk(in)) body.write(chunk);
            } else {
                body.write(Http.readExactly(in, Integer.parseInt(head.get("Content-Length"))));
            }
            answer.isComplete = true;
        } catch (IOException | RuntimeException ended) {
            answer.failure = ended.toString();
        }
        answer.body = body.toByteArray();
        return answer;
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException ignored) {
            // It is closed already.
        }
    }
}
