import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
    private Http() {}

    /** Start line and headers of a message. */
    static final class Head {
        final String startLine;
        final List<String[]> headers = new ArrayList<>();

        Head(String startLine) {
            this.startLine = startLine;
        }

        /** Returns the first header with this name; null if there is none. */
        String get(String name) {
            for (String[] header : headers) if (header[0].equalsIgnoreCase(name)) return header[1];
            return null;
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }
    }

    /** Reads a head; returns null if the connection ends before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in, true);
        while (first != null && first.isEmpty()) first = readLine(in, true);
        if (first == null) return null;
        Head head = new Head(first);
        for (String line = readLine(in, false); !line.isEmpty(); line = readLine(in, false)) {
            int colon = line.indexOf(':');
            if (colon < 0) throw new IOException("header without a colon: " + line);
            head.headers.add(new String[] {line.substring(0, colon), line.substring(colon + 1).trim()});
        }
        return head;
    }

    /** Reads the body that follows the head of a request. */
    static byte[] readRequestBody(InputStream in, Head head) throws IOException {
        if ("chunked".equalsIgnoreCase(head.get("Transfer-Encoding"))) return readChunks(in);
        String length = head.get("Content-Length");
        return length == null ? new byte[0] : readExactly(in, Integer.parseInt(length));
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) body.write(chunk);
        return body.toByteArray();
    }

    /** Reads one chunk; it is empty if it is the last one. */
    static byte[] readChunk(InputStream in) throws IOException {
        int size = Integer.parseInt(readLine(in, false).split(";")[0].trim(), 16);
        byte[] chunk = readExactly(in, size);
        readLine(in, false);
        return chunk;
    }

    static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("connection ended within a body");
        return bytes;
    }

    private static String readLine(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (mayEnd && line.size() == 0) return null;
                throw new EOFException("connection ended within a line");
            }
            if (next == '\n') return line.toString(StandardCharsets.ISO_8859_1);
            if (next != '\r') line.write(next);
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns a complete response with a JSON body. */
    static byte[] json(int status, String body) {
        return bytes("HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }
}
