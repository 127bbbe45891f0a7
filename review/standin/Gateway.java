import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the project's gateway, started with the command and the settings template of the deploy file. */
final class Gateway {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern PLACE = Pattern.compile("\\{\\{([a-z0-9.-]+)(\\|json)?\\}\\}");

    final Process process;
    final InetSocketAddress callers;
    private final InetSocketAddress readiness;

    Gateway(Path root, Path folder, String name, String host, int[] ports, String storeAddress) throws IOException {
        callers = new InetSocketAddress(host, ports[0]);
        readiness = new InetSocketAddress(host, ports[1]);
        Map<String, String> values = new TreeMap<>(Map.of(
            "node-name", name,
            "zone", "zone-a",
            "listen.front", host + ":" + ports[0],
            "listen.ready", host + ":" + ports[1],
            "ip-address", host,
            "internal-port-range", ports[2] + "," + ports[2],
            "platform.address", storeAddress));
        values.putAll(Deployment.BOUNDS);
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, fill(Files.readString(root.resolve("deploy/gateway.json.template")), values));
        Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) throw new IOException("deploy/system.toml has no command");
        ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.group(1).split(" ")));
        builder.directory(root.toFile());
        builder.environment().put("YUCCAFERRY_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(folder.resolve(name + ".log").toFile());
        process = builder.start();
    }

    private static String fill(String template, Map<String, String> values) {
        return PLACE.matcher(template).replaceAll(place -> {
            String value = values.get(place.group(1));
            boolean isNumber = value.matches("[0-9.]+") && !place.group(1).equals("ip-address");
            return Matcher.quoteReplacement(place.group(2) == null || isNumber ? value : "\"" + value + "\"");
        });
    }

    /** Returns whether the gateway reports itself ready. */
    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(readiness, 500);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(Http.bytes("GET /-/readiness HTTP/1.1\r\nHost: " + readiness.getHostString() + "\r\n\r\n"));
            Http.Head head = Http.readHead(socket.getInputStream());
            return head != null && head.status() == 200;
        } catch (IOException notYet) {
            return false;
        }
    }

    /** Sends a signal, such as TERM, STOP or CONT. */
    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }
}
