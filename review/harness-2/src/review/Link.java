package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Links that can be cut: connections and datagrams then go nowhere, without a reset. They can also stop to take new connections only. */
final class Link {
    private volatile boolean isCut;
    private volatile boolean isFull;
    private final List<ServerSocket> listeners = new ArrayList<>();
    private final List<Socket> fillers = new CopyOnWriteArrayList<>();

    /** Returns an address of this link that leads to {@code target}, over TCP. */
    InetSocketAddress to(InetSocketAddress target) throws IOException {
        ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        listeners.add(listener);
        Threads.start("link-" + target, () -> {
            while (true) {
                Socket near = listener.accept();
                while (isFull) Threads.sleep(10);
                awaitHealed();
                Threads.start("forward", () -> forward(near, target));
            }
        });
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Returns an address of this link that leads to {@code target}, over UDP; answers go to the last sender. */
    InetSocketAddress toDatagrams(InetSocketAddress target) throws IOException {
        DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
        Threads.start("datagrams-" + target, () -> {
            SocketAddress sender = null;
            while (true) {
                DatagramPacket packet = new DatagramPacket(new byte[65_536], 65_536);
                socket.receive(packet);
                boolean isAnswer = packet.getSocketAddress().equals(target);
                if (!isAnswer) sender = packet.getSocketAddress();
                if (isCut || (isAnswer && sender == null)) continue;
                packet.setSocketAddress(isAnswer ? sender : target);
                socket.send(packet);
            }
        });
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    /** Cuts the link. */
    void cut() throws InterruptedException {
        isCut = true;
        fillQueues();
    }

    void heal() {
        isCut = false;
        emptyQueues();
    }

    /** Lets new connections hang, because the queue of each listener is filled with connections that nobody accepts; others go on. */
    void fillQueues() throws InterruptedException {
        isFull = true;
        List<Thread> filling = listeners.stream().map(listener -> Threads.start("fill", () -> fill(listener))).toList();
        for (Thread thread : filling) thread.join();
    }

    /** Connects to {@code listener} until that fails twice: its thread may accept one connection after the first failure. */
    private void fill(ServerSocket listener) throws IOException {
        int failures = 0;
        while (failures < 2) {
            Socket filler = new Socket();
            try {
                filler.connect(listener.getLocalSocketAddress(), 100);
                fillers.add(filler);
                failures = 0;
            } catch (SocketTimeoutException full) {
                failures++;
            }
        }
    }

    void emptyQueues() {
        fillers.forEach(Http::reset);
        fillers.clear();
        isFull = false;
    }

    private void awaitHealed() {
        while (isCut) Threads.sleep(10);
    }

    private void forward(Socket near, InetSocketAddress target) throws IOException {
        near.setTcpNoDelay(true);
        Socket far = new Socket();
        far.connect(target, 1_000);
        far.setTcpNoDelay(true);
        Threads.start("back", () -> copy(far, near));
        copy(near, far);
    }

    private void copy(Socket from, Socket to) throws IOException {
        try {
            InputStream in = from.getInputStream();
            byte[] buffer = new byte[65_536];
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                awaitHealed();
                to.getOutputStream().write(buffer, 0, count);
            }
            awaitHealed();
            from.close();
            to.close();
        } catch (IOException reset) {
            awaitHealed();
            Http.reset(from);
            Http.reset(to);
        }
    }
}
