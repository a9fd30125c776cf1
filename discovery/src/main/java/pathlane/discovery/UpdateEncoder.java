package pathlane.discovery;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import pathlane.decision.ServerStatus;

/**
 * Works out what brings a subscriber from what it holds of a service to the newest state, and encodes it once for all
 * subscribers that hold the same. What was encoded is kept until the service changes, within a bound of bytes.
 */
final class UpdateEncoder {

    /** The snapshots of a fleet of 26,000 endpoints take about 1 MiB, the deltas of a busy second much less. */
    static final long MAX_CACHED_BYTES = 16 << 20;

    /** What was encoded of one service at its present revision, by what the subscribers hold. */
    private static final class Encoded {
        private EncodedChange snapshot;
        private final Map<HeldVersion, EncodedChange> deltas = new HashMap<>();
        private long bytes;
    }

    private final Catalogue catalogue;
    private final PublisherMetrics metrics;
    private final long maxCachedBytes;
    /** By service, the least recently used first. */
    private final Map<String, Encoded> cache = new LinkedHashMap<>(16, 0.75f, true);
    private long cachedBytes;

    UpdateEncoder(Catalogue catalogue, PublisherMetrics metrics, long maxCachedBytes) {
        this.catalogue = catalogue;
        this.metrics = metrics;
        this.maxCachedBytes = maxCachedBytes;
    }

    /** A service has changed: what was encoded of it is of the past. */
    void invalidate(String service) {
        Encoded encoded = cache.remove(service);
        if (encoded != null) {
            cachedBytes -= encoded.bytes;
        }
    }

    /** What a subscriber that holds this must be sent; empty where it holds the newest state of the service, or a newer. */
    Optional<EncodedChange> change(String service, HeldVersion held) {
        CatalogueEntry entry = catalogue.entry(service);
        if (entry == null) {
            return absent(service, held);
        }
        if (held.revision().isAfter(entry.revision()) || held.equals(entry.held())) {
            return Optional.empty();
        }
        return Optional.of(held.isNothing() ? snapshot(entry, held) : difference(entry, held));
    }

    /** Whether the catalogue lacks a service without it being known yet that it is absent at the revision held. */
    boolean isUnresolved(String service, HeldVersion held) {
        return catalogue.entry(service) == null
                && (!catalogue.isComplete() || held.revision().isAfter(catalogue.absentSince(service)));
    }

    private Optional<EncodedChange> absent(String service, HeldVersion held) {
        if (isUnresolved(service, held)) {
            return Optional.empty();
        }
        ServiceChange absent = new ServiceChange.Absent(service, catalogue.absentSince(service));
        return Optional.of(new EncodedChange(EncodedChange.Kind.ABSENT, WatchCodec.bytes(absent), HeldVersion.NOTHING,
                !held.isNothing()));
    }

    private EncodedChange snapshot(CatalogueEntry entry, HeldVersion held) {
        Encoded encoded = encoded(entry);
        if (encoded.snapshot == null) {
            byte[] bytes = WatchCodec.bytes(new ServiceChange.Snapshot(entry.state()));
            metrics.snapshotsEncoded++;
            encoded.snapshot = new EncodedChange(EncodedChange.Kind.SNAPSHOT, bytes, entry.held(), false);
            addCachedBytes(encoded, bytes.length);
        }
        return held.isNothing() ? encoded.snapshot : asRemoving(encoded.snapshot);
    }

    /** In place of some other content, a snapshot may take anything away. */
    private static EncodedChange asRemoving(EncodedChange snapshot) {
        return new EncodedChange(snapshot.kind(), snapshot.bytes(), snapshot.held(), true);
    }

    private EncodedChange difference(CatalogueEntry entry, HeldVersion held) {
        Encoded encoded = encoded(entry);
        EncodedChange cached = encoded.deltas.get(held);
        if (cached != null) {
            return cached;
        }
        Optional<ServiceChange.Delta> delta = held.digest() == entry.digest() ? Optional.of(sameContent(entry, held))
                : catalogue.deltaSince(entry, held.revision());
        if (delta.isEmpty()) {
            return snapshot(entry, held);
        }
        EncodedChange change = encode(delta.get(), entry.held());
        encoded.deltas.put(held, change);
        addCachedBytes(encoded, change.size());
        return change;
    }

    /** The content is held already, only under an earlier revision, as after the source has started anew. */
    private static ServiceChange.Delta sameContent(CatalogueEntry entry, HeldVersion held) {
        return new ServiceChange.Delta(entry.service(), held.revision(), entry.revision(), entry.digest(), List.of(),
                List.of(), Optional.empty());
    }

    private EncodedChange encode(ServiceChange.Delta delta, HeldVersion result) {
        boolean removesOrDrains = !delta.removed().isEmpty()
                || delta.upserted().stream().anyMatch(endpoint -> endpoint.status() == ServerStatus.DRAINING);
        metrics.deltasEncoded++;
        return new EncodedChange(EncodedChange.Kind.DELTA, WatchCodec.bytes(delta), result, removesOrDrains);
    }

    private Encoded encoded(CatalogueEntry entry) {
        return cache.computeIfAbsent(entry.service(), key -> new Encoded());
    }

    private void addCachedBytes(Encoded encoded, int bytes) {
        encoded.bytes += bytes;
        cachedBytes += bytes;
        for (Iterator<Encoded> oldest = cache.values().iterator(); cachedBytes > maxCachedBytes;) {
            cachedBytes -= oldest.next().bytes;
            oldest.remove();
        }
    }

    /** Bytes of encoded changes that are kept. */
    long cachedBytes() {
        return cachedBytes;
    }
}
