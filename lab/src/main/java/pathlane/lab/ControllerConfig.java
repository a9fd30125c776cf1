package pathlane.lab;

import java.util.function.IntUnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** The configuration of a controller under test, as the platform writes it to {@code RELAY_CONFIG}. */
public final class ControllerConfig {

    private ControllerConfig() {}

    /**
     * Returns the JSON text.
     *
     * @param serverPort the port at which this controller reaches a server, by the server's index
     * @param busPort 0 for none
     */
    public static String text(String name, int listenPort, int servers, IntUnaryOperator serverPort, int busPort,
            int controllers, long seed) {
        String hosts = IntStream.range(0, servers).mapToObj(index -> String.format("{\"host\":\"s-%08x\","
                + "\"dial\":\"127.0.0.1:%d\",\"site\":\"here\",\"class\":\"std\",\"block\":%d,\"health\":\"SERVING\","
                + "\"share\":1,\"born_ms\":0}", index + 1, serverPort.applyAsInt(index), index))
                .collect(Collectors.joining(","));
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + listenPort + "\",\"seed\":\"" + Long.toHexString(seed)
                + "\"," + (busPort == 0 ? "" : "\"bus\":\"127.0.0.1:" + busPort + "\",")
                + "\"limits\":{\"sockets\":1024,\"memory_mb\":192},"
                + "\"known\":{\"offset\":1,\"batch\":[{\"offset\":1,\"topology\":{\"seq\":1,\"whole\":true,\"hosts\":["
                + hosts + "]}}]},\"settings\":{\"balancers\":" + controllers + ",\"tick-ms\":5,"
                + "\"lanes\":[{\"name\":\"status-check\",\"aim-ms\":1500,\"deadline-ms\":9000,\"importance\":1,"
                + "\"late-value\":0.25},{\"name\":\"deadline-sign\",\"aim-ms\":800,\"deadline-ms\":6000,\"importance\":6,"
                + "\"late-value\":0.1}],\"ceilings\":{\"cancelling\":true,\"max-attempts\":6,\"dial-timeout-ms\":500,"
                + "\"retry-after\":true,\"max-retry-after-ms\":2000},\"rules\":{\"cold-from\":0.28,\"cold-ms\":13000,"
                + "\"fall-multiple\":3,\"fall-ms\":1500},\"specifics\":{\"clear-wait-ms\":200,\"t1-ms\":500}}}";
    }
}
