package pathlane.discovery;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import pathlane.decision.ServerStatus;

/**
 * Computes the change that takes a subscriber from the version of a service that it holds to the newest one, and encodes
 * it once for all subscribers that hold the same version. Encoded changes are cached until the service changes, up to a
 * limit in bytes.
 */
final class UpdateEncoder {

    /** The snapshots of a deployment with 26,000 endpoints take about 1 MiB, the deltas of a busy second much less. */
    static final long MAX_CACHED_BYTES = 16 << 20;

    /** The encoded changes of one service to its current revision, by the version that the subscribers hold. */
    private static final class Encoded {
        private EncodedChange snapshot;
        private final Map<HeldVersion, EncodedChange> deltas = new HashMap<>();
        private long bytes;
    }

    private final Catalogue catalogue;
    private final PublisherMetrics metrics;
    private final long maxCachedBytes;
    /** By service, in order of last use, least recently used first. */
    private final Map<String, Encoded> cache = new LinkedHashMap<>(16, 0.75f, true);
    private long cachedBytes;

    UpdateEncoder(Catalogue catalogue, PublisherMetrics metrics, long maxCachedBytes) {
        this.catalogue = catalogue;
        this.metrics = metrics;
        this.maxCachedBytes = maxCachedBytes;
    }

    /** Drops the cached changes of a service that has changed. */
    void invalidate(String service) {
        Encoded encoded = cache.remove(service);
        if (encoded != null) {
            cachedBytes -= encoded.bytes;
        }
    }

    /** The change to send to a subscriber that holds this version; empty if it holds the newest version or a later one. */
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

    /** Whether a service is missing from the catalogue but not yet known to be absent at the revision held. */
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

    /** The snapshot marked as removing endpoints: replacing other content may remove any of them. */
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

    /**
     * An empty delta: the subscriber holds the same content under an earlier revision, as after a restart of the source.
     */
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

    /** Bytes of the cached changes. */
    long cachedBytes() {
        return cachedBytes;
    }
}
