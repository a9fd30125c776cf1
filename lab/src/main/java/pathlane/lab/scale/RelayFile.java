package pathlane.lab.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import pathlane.discovery.WatchTerms.PublisherAddress;

/** The file of a relay's program, as deploy/relay.toml has it; what it does not name is as usual. */
final class RelayFile {

    private RelayFile() { }

    /** Writes a relay's file, beside that of the keys. */
    static void write(Path file, Topology topology, Topology.Publisher relay, ScalePlan.Relays limits, Path keys) {
        StringBuilder text = new StringBuilder(String.format("""
                role = "relay"
                name = "%s"
                zone = "%s"
                region = "%s"
                listen = "%s:%d"
                keys = "%s"

                [limits]
                subscribers = %d
                bookmark-ms = %d
                """, relay.name(), relay.zone(), relay.region(), relay.host(), relay.port(), keys.getFileName(),
                limits.subscribers(), limits.bookmarkMillis()));
        for (PublisherAddress upstream : topology.upstreamsOf(relay)) {
            text.append(String.format("""

                    [[publishers]]
                    name = "%s"
                    address = "%s:%d"
                    zone = "%s"
                    region = "%s"
                    """, upstream.name(), upstream.address().getHostString(), upstream.address().getPort(), upstream.zone(),
                    upstream.region()));
        }
        try {
            Files.writeString(file, text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
