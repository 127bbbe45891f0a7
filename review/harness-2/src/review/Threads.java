package review;

/** Starts threads that don't keep the process running. */
final class Threads {
    private Threads() {}

    /** Work that may fail; a failure ends its thread only. */
    interface Work {
        void run() throws Exception;
    }

    static Thread start(String name, Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception ended) {
                // Sockets that were closed on purpose end their threads this way.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
