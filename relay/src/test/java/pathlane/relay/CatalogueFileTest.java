package pathlane.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;

class CatalogueFileTest {

    @TempDir
    Path folder;

    private Map<String, CatalogueFile.Content> read(String text) throws IOException {
        Path file = folder.resolve("catalogue.json");
        Files.writeString(file, text);
        return CatalogueFile.read(file);
    }

    @Test
    void endpointsOfAServiceAreSortedById() throws IOException {
        Map<String, CatalogueFile.Content> services = read("""
                {"services": {"a": {"configuration": "c", "endpoints": [
                  {"id": 9, "address": "127.0.0.1:9", "draining": true, "cell": 2, "weight": 0.5, "started-ms": 3},
                  {"id": 7, "address": "127.0.0.1:7"}]}, "b": {}}}""");
        assertEquals(List.of("a", "b"), List.copyOf(services.keySet()));
        assertEquals(List.of(7L, 9L), services.get("a").endpoints().stream().map(ServerEndpoint::id).toList());
        assertEquals(ServerStatus.DRAINING, services.get("a").endpoints().get(1).status());
        assertEquals("c", services.get("a").configuration());
    }

    @Test
    void invalidCatalogueIsReportedWithItsLine() throws IOException {
        Map<String, String> invalidFiles = Map.of(
                "{\n\"service\": {}}", "line 2: 'service' is not a known key",
                "{\"services\": {\"a\": {\n\"endpoints\": [{\"id\": 1}]}}}", "line 2: an endpoint has no 'address'",
                "{\"services\": {\"a\": {\n\"endpoints\": [{\"id\": -1}]}}}", "line 2: 'id' is -1",
                "{\"services\": {\"a\": {\n\"endpoints\": [{\"id\": \"x\"}]}}}", "line 2: unexpected JSON value",
                "{\"services\": {\"a\": {\n\"endpoints\": [{\"id\": 1, \"address\": \"x\"}]}}}", "line 2: 'address': 'x'",
                "{\"services\": [\n", "line 1: unexpected JSON value",
                "{\"services\": {\"a\": {},\n\"a\": {}}}", "line 2: service 'a' is listed twice",
                "{\"services\" {}}", "line 1");
        invalidFiles.forEach((text, sentence) -> {
            String message = assertThrows(IllegalArgumentException.class, () -> read(text), text).getMessage();
            assertTrue(message.contains(sentence), message);
            assertEquals(1, message.lines().count(), message);
        });
    }
}
