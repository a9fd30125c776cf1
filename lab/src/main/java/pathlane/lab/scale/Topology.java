package pathlane.lab.scale;

import com.google.gson.Gson;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import pathlane.discovery.WatchTerms.PublisherAddress;
import pathlane.lab.rig.Ports;

/**
 * Where the publishers of a run listen, all on loopback. A file of the run's folder tells it to each process.
 *
 * @param sources one address of the source for each region, so that a region alone can be cut from it
 * @param regionRelays the relays below the source
 * @param zoneRelays the relays below those, which controllers connect to
 */
record Topology(List<Publisher> sources, List<Publisher> regionRelays, List<Publisher> zoneRelays) {

    private static final String SOURCE_HOST = "127.0.0.1";
    /** Each relay has an address of its own: source ports towards one address are limited. */
    private static final int FIRST_RELAY_HOST = 2;
    private static final Gson GSON = new Gson();

    /** One publisher; the source and the relays of a region are in a zone that no controller is in. */
    record Publisher(String name, String host, int port, String zone, String region) {

        InetSocketAddress socketAddress() {
            return new InetSocketAddress(host, port);
        }

        PublisherAddress address() {
            return new PublisherAddress(name, socketAddress(), zone, region);
        }
    }

    /** Gives each publisher an address with a port that is free now. */
    static Topology create(ScalePlan plan, FleetLayout layout) {
        List<Publisher> sources = new ArrayList<>();
        for (int region = 0; region < plan.fleet().regions(); region++) {
            sources.add(new Publisher("source", SOURCE_HOST, Ports.findFree(SOURCE_HOST), "source", regionName(region)));
        }
        List<Publisher> regionRelays = new ArrayList<>();
        for (int relay = 0; relay < plan.relays().inRegions(); relay++) {
            String region = regionName(relay % plan.fleet().regions());
            regionRelays.add(relay("region-relay-" + relay, FIRST_RELAY_HOST + relay, region, region));
        }
        List<Publisher> zoneRelays = new ArrayList<>();
        for (int relay = 0; relay < plan.relays().inZones(); relay++) {
            int zone = relay % plan.fleet().zones();
            zoneRelays.add(relay("zone-relay-" + relay, FIRST_RELAY_HOST + plan.relays().inRegions() + relay, zoneName(zone),
                    regionName(layout.regionOfZone(zone))));
        }
        return new Topology(sources, regionRelays, zoneRelays);
    }

    private static Publisher relay(String name, int host, String zone, String region) {
        String address = "127.0.0." + host;
        return new Publisher(name, address, Ports.findFree(address), zone, region);
    }

    static String zoneName(int zone) {
        return "zone-" + zone;
    }

    static String regionName(int region) {
        return "region-" + region;
    }

    /** The relay of this name. */
    Publisher relay(String name) {
        return regionRelays.stream().filter(relay -> relay.name().equals(name)).findFirst()
                .orElseGet(() -> zoneRelays.stream().filter(relay -> relay.name().equals(name)).findFirst().orElseThrow());
    }

    long zoneRelaysIn(String zone) {
        return zoneRelays.stream().filter(relay -> relay.zone().equals(zone)).count();
    }

    long zoneRelaysBelow(String region) {
        return zoneRelays.stream().filter(relay -> relay.region().equals(region)).count();
    }

    long regionRelaysIn(String region) {
        return regionRelays.stream().filter(relay -> relay.region().equals(region)).count();
    }

    /** Where a relay has its content from: the source for a region's, the regions' relays for a zone's. */
    List<PublisherAddress> upstreamsOf(Publisher relay) {
        if (zoneRelays.contains(relay)) {
            return regionRelays.stream().map(Publisher::address).toList();
        }
        return sources.stream().filter(source -> source.region().equals(relay.region())).map(Publisher::address).toList();
    }

    void write(Path file) {
        try {
            Files.writeString(file, GSON.toJson(this));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static Topology read(Path file) {
        try {
            return GSON.fromJson(Files.readString(file), Topology.class);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
