package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The little HTTP/1.1 that the stand-ins need: messages with a length or in chunks, one thread for each connection. */
final class Http {
    private Http() {}

    /** A request, or the head of a response, whose first line is {@code line}; names of headers are in lower case. */
    record Message(String line, Map<String, String> headers, byte[] body) {
        String word(int index) {
            String[] words = line.split(" ", 3);
            return index < words.length ? words[index] : "";
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Answers one request; the connection stays open unless it returns false. */
    interface Handler {
        boolean handle(Message request, Socket socket) throws IOException, InterruptedException;
    }

    /** Reads the head of a message; null at the end of the connection. */
    static Message readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        Map<String, String> headers = new TreeMap<>();
        for (String field = readLine(in); field != null && !field.isEmpty(); field = readLine(in)) {
            int colon = field.indexOf(':');
            headers.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
        }
        return new Message(line, headers, new byte[0]);
    }

    /** Reads a whole request; null at the end of the connection. */
    static Message readRequest(InputStream in) throws IOException {
        Message head = readHead(in);
        if (head == null) return null;
        int length = Integer.parseInt(head.headers().getOrDefault("content-length", "0"));
        return new Message(head.line(), head.headers(), in.readNBytes(length));
    }

    /** Returns the next chunk of a body; null after the last one. Throws if the connection ends before it. */
    static byte[] readChunk(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) throw new EOFException("ended between chunks");
        int size = Integer.parseInt(line.trim(), 16);
        byte[] chunk = in.readNBytes(size);
        if (chunk.length < size || readLine(in) == null) throw new EOFException("ended within a chunk");
        return size == 0 ? null : chunk;
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) return null;
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static void send(Socket socket, int status, String headers, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        write(socket, head.getBytes(StandardCharsets.ISO_8859_1), body);
    }

    static void startChunked(Socket socket, int status, String headers) throws IOException {
        write(socket, ("HTTP/1.1 " + status + " Status\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    static void sendChunk(Socket socket, byte[] bytes) throws IOException {
        write(socket, (Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1), bytes, new byte[] {'\r', '\n'});
    }

    static void write(Socket socket, byte[]... parts) throws IOException {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        for (byte[] part : parts) whole.write(part);
        OutputStream out = socket.getOutputStream();
        out.write(whole.toByteArray());
        out.flush();
    }

    /** Closes {@code socket} with a reset, as the system does for a process that ends. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException closed) {
            // It is closed already.
        }
    }

    /** A server on loopback, which can end and start again at the same port. */
    static final class Server {
        private final Handler handler;
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
        private volatile ServerSocket listener;
        final InetSocketAddress address;

        Server(Handler handler) throws IOException {
            this.handler = handler;
            listener = listen(0);
            address = (InetSocketAddress) listener.getLocalSocketAddress();
            accept(listener);
        }

        String hostPort() {
            return "127.0.0.1:" + address.getPort();
        }

        /** Closes the port and resets all connections. */
        void crash() throws IOException {
            listener.close();
            connections.forEach(Http::reset);
        }

        /** Listens again after {@link #crash}. */
        void restart() throws IOException {
            listener = listen(address.getPort());
            accept(listener);
        }

        private static ServerSocket listen(int port) throws IOException {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
            return socket;
        }

        private void accept(ServerSocket socket) {
            Threads.start("accept-" + address, () -> {
                while (true) {
                    Socket connection = socket.accept();
                    connections.add(connection);
                    Threads.start("serve", () -> serve(connection));
                }
            });
        }

        private void serve(Socket connection) {
            try (connection) {
                connection.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(connection.getInputStream());
                for (Message request = readRequest(in); request != null; request = readRequest(in)) {
                    if (!handler.handle(request, connection)) return;
                }
            } catch (IOException | InterruptedException ended) {
                // The other side left, or the server crashed.
            } finally {
                connections.remove(connection);
            }
        }
    }
}
