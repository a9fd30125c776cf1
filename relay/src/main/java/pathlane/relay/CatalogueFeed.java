package pathlane.relay;

import java.nio.file.Path;
import java.util.Map;
import pathlane.discovery.Source;

/** Fills a source from a catalogue file, at startup and at each reload. */
final class CatalogueFeed implements ContentFeed {

    private final Path file;
    private final Source source;

    CatalogueFeed(Path file, Source source) {
        this.file = file;
        this.source = source;
    }

    @Override
    public void start() {
        reload();
        source.catalogue().complete();
    }

    @Override
    public void reload() {
        Map<String, CatalogueFile.Content> services = CatalogueFile.read(file);
        source.catalogue().services().stream().filter(service -> !services.containsKey(service))
                .forEach(source.catalogue()::remove);
        services.forEach(
                (service, content) -> source.catalogue().replace(service, content.endpoints(), content.configuration()));
    }

    @Override
    public String details() {
        return "content=file";
    }
}
