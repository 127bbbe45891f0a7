package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The operator raises the limit on headers; clients use it on connections that they have kept since before. */
public final class HeaderLimitOfKeptConnections implements Case.Script {
    private static final int CONNECTIONS = 20;
    private static final int LATER_HEADER_BYTES = 65_536;

    private int requests;

    @Override
    public boolean run(Case.Setting setting) throws Exception {
        Record record = setting.record();
        Store store = new Store();
        Plain desk = new Plain("d-0", "desk", "attica-a", record);
        store.put("servers/" + desk.id, desk.entry());
        String configuration = Configurations.of(1, Configurations.QUOTES, Configurations.BOOKINGS);
        store.put("op/config", setting.hasTrouble() ? configuration : raised(configuration));
        Gateway gateway = new Gateway("front-attica-a-1", "attica-a", setting.root(), setting.temporary(), store.serve((key, value) -> value).address);
        gateway.start();
        if (!gateway.awaitReady(15_000)) throw new IllegalStateException(gateway.name + " isn't ready");

        List<Socket> kept = new ArrayList<>();
        for (int number = 0; number < CONNECTIONS; number++) {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress("127.0.0.1", gateway.callers), 1_000);
            socket.setSoTimeout(3_000);
            kept.add(socket);
        }
        record.say("on kept connections, headers of 1 kB: " + book(kept, record, 1_000));
        if (setting.hasTrouble()) {
            store.put("op/config", raised(Configurations.of(2, Configurations.QUOTES, Configurations.BOOKINGS)));
            record.say("version 2 is acknowledged: max-header-bytes " + LATER_HEADER_BYTES + " instead of 16384");
        }
        Threads.sleep(6_000);
        List<Integer> small = book(kept, record, 1_000);
        record.say("on kept connections, headers of 1 kB: " + small);
        List<Integer> large = book(kept, record, 24_000);
        record.say("on kept connections, headers of 24 kB: " + large);
        List<Socket> fresh = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            fresh.add(new Socket("127.0.0.1", gateway.callers));
            fresh.get(number).setSoTimeout(3_000);
        }
        record.say("on new connections, headers of 24 kB: " + book(fresh, record, 24_000));
        long denied = large.stream().filter(status -> status == 431).count();
        record.say(denied > 5 + requests / 500 ? "DENIED broken: " + denied + " of " + requests + " requests got a 431 of the daemon's own" : "DENIED held");
        return denied <= 5 + requests / 500;
    }

    private static String raised(String configuration) {
        return configuration.replace("\"max-header-bytes\":16384", "\"max-header-bytes\":" + LATER_HEADER_BYTES);
    }

    /** Sends one booking on each connection, with headers of {@code headerBytes}, and returns the statuses; 0 where there is none. */
    private List<Integer> book(List<Socket> connections, Record record, int headerBytes) {
        List<Integer> statuses = new ArrayList<>();
        for (Socket socket : connections) {
            String attempt = String.format("%016x", 0x9c41d07be2a30000L + ++requests);
            StringBuilder parts = new StringBuilder("5c1e07a2:40");
            while (parts.length() < headerBytes - 200) parts.append(',').append(Integer.toHexString(0xe4000000 + parts.length())).append(":12");
            String head = "POST /bookings/" + requests + " HTTP/1.1\r\nHost: " + Client.HOST + "\r\nAttempt-Id: " + attempt
                + "\r\nTime-Remaining: 1500\r\nApi-Key: key\r\nContent-Length: 0\r\nPrompt-Prefix: " + parts + "\r\n\r\n";
            int status = 0;
            try {
                Http.write(socket, head.getBytes(StandardCharsets.ISO_8859_1));
                InputStream in = new BufferedInputStream(socket.getInputStream());
                Http.Message answer = Http.readHead(in);
                if (answer != null) {
                    status = Integer.parseInt(answer.word(1));
                    in.readNBytes(Integer.parseInt(answer.header("Content-Length")));
                }
            } catch (IOException ended) {
                // The status tells that there was no answer.
            }
            record.write("client has " + status + " for " + attempt + ", headers of " + head.length() + " bytes");
            statuses.add(status);
        }
        return statuses;
    }
}
