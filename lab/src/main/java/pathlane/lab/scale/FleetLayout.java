package pathlane.lab.scale;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;

/**
 * Who is where: services with their session servers, and controllers with the services that they watch. Follows from the
 * plan and its seed alone, so that each process works it out by itself.
 *
 * <p>Controllers and session servers are numbered from 0; controller {@code n} stands beside session server {@code n}.
 */
final class FleetLayout {

    /** Nobody listens there, so that a set-up of a real controller is refused at once. */
    private static final int SERVER_PORT = 1;
    private static final int LOOPBACK = 127;
    private static final int FIRST_BLOCK = 128;
    private static final int BYTE_BITS = 8;

    private final ScalePlan.Fleet fleet;
    /** The number of the first server of each service; one more entry ends the last service. */
    private final int[] firstServer;
    /** Sums of the services' weights as callees, ascending. */
    private final double[] popularitySums;

    FleetLayout(ScalePlan.Fleet fleet) {
        this.fleet = fleet;
        this.firstServer = firstServers(sizes(fleet));
        this.popularitySums = new double[fleet.services()];
        double sum = 0;
        for (int service = 0; service < fleet.services(); service++) {
            sum += Math.pow(size(service), fleet.callPopularity());
            popularitySums[service] = sum;
        }
    }

    /** Draws a Pareto size for each service, and scales what is above 1 so that all add up to the fleet. */
    private static int[] sizes(ScalePlan.Fleet fleet) {
        SplittableRandom random = new SplittableRandom(fleet.seed());
        double[] excess = IntStream.range(0, fleet.services())
                .mapToDouble(service -> Math.min(fleet.largestService(),
                        Math.pow(1 - random.nextDouble(), -1 / fleet.sizeShape())) - 1)
                .toArray();
        double excessTogether = Arrays.stream(excess).sum();
        int toShare = fleet.controllers() - fleet.services();
        int[] sizes = new int[fleet.services()];
        double shareSoFar = 0;
        int given = 0;
        for (int service = 0; service < sizes.length; service++) {
            shareSoFar += excessTogether > 0 ? excess[service] / excessTogether * toShare : 0;
            int more = (int) Math.round(shareSoFar) - given;
            sizes[service] = 1 + more;
            given += more;
        }
        sizes[0] += toShare - given;
        return sizes;
    }

    private static int[] firstServers(int[] sizes) {
        int[] first = new int[sizes.length + 1];
        for (int service = 0; service < sizes.length; service++) {
            first[service + 1] = first[service] + sizes[service];
        }
        return first;
    }

    int services() {
        return fleet.services();
    }

    String serviceName(int service) {
        return "service-" + service;
    }

    /** How many servers a service has. */
    int size(int service) {
        return firstServer[service + 1] - firstServer[service];
    }

    /** How many servers the largest service has. */
    int largest() {
        return IntStream.range(0, services()).map(this::size).max().orElse(0);
    }

    int serviceOf(int server) {
        int found = Arrays.binarySearch(firstServer, server);
        return found >= 0 ? found : -found - 2;
    }

    /** The servers of a service, by number. */
    IntStream serversOf(int service) {
        return IntStream.range(firstServer[service], firstServer[service + 1]);
    }

    int zoneOf(int controller) {
        return controller % fleet.zones();
    }

    /** How many controllers are in a zone, by its name. */
    long controllersIn(String zone) {
        return IntStream.range(0, fleet.controllers()).filter(number -> Topology.zoneName(zoneOf(number)).equals(zone))
                .count();
    }

    int regionOfZone(int zone) {
        return zone % fleet.regions();
    }

    /** The id of a session server in the catalogue. */
    static long serverId(int server) {
        return server + 1L;
    }

    /** The number of a session server, from its id. */
    static int serverNumber(long id) {
        return (int) (id - 1);
    }

    /** A session server as the catalogue lists it. */
    ServerEndpoint line(int server, ServerStatus mode, Instant startedAt) {
        byte[] address = {LOOPBACK, (byte) (FIRST_BLOCK + (server >> 2 * BYTE_BITS)), (byte) (server >> BYTE_BITS),
                (byte) server};
        try {
            return new ServerEndpoint(serverId(server),
                    new InetSocketAddress(InetAddress.getByAddress(address), SERVER_PORT),
                    mode,
                    zoneOf(server), 1, startedAt);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);   // four bytes are an address
        }
    }

    /** All servers of a service, running since long ago. */
    List<ServerEndpoint> lines(int service) {
        return serversOf(service).mapToObj(server -> line(server, ServerStatus.RUNNING, Instant.EPOCH)).toList();
    }

    /** The services that a controller calls, and so watches. */
    List<String> watchedBy(int controller) {
        SplittableRandom random = new SplittableRandom(fleet.seed() * 1_000_003 + controller);
        Set<Integer> watched = new LinkedHashSet<>();
        int wanted = Math.min(fleet.calls(), services());
        while (watched.size() < wanted) {
            watched.add(drawCallee(random));
        }
        List<String> names = new ArrayList<>();
        watched.forEach(service -> names.add(serviceName(service)));
        return names;
    }

    private int drawCallee(SplittableRandom random) {
        double at = random.nextDouble() * popularitySums[popularitySums.length - 1];
        int found = Arrays.binarySearch(popularitySums, at);
        return Math.min(found >= 0 ? found : -found - 1, services() - 1);
    }
}
