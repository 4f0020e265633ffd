package org.crocushaven.configuration.servicefile;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.crocushaven.configuration.Adapter;
import org.crocushaven.configuration.Organisation;
import org.crocushaven.configuration.PublishServices;
import org.crocushaven.configuration.Service;
import org.crocushaven.configuration.check.CheckEngine;
import org.crocushaven.configuration.check.TomlDocument;
import org.crocushaven.configuration.check.Violation;
import org.crocushaven.configuration.check.ViolationLog;

/**
 * Collects the service files in a list of folders and their subfolders into one publication.
 *
 * <p>The publication depends only on the contents of the files, not on their locations or on the
 * order in which they are found.
 */
public final class PublicationCollector {
    /** File name of service files. */
    public static final String FILE_NAME = "crocushaven.toml";

    private static final String MESSAGE_UNREADABLE = "file.unreadable";
    private static final String MESSAGE_NO_FILE = "folder.empty";
    private static final String MESSAGE_NO_FOLDER = "folder.missing";
    private static final CheckEngine ENGINE = CheckEngine.of(ServiceFileChecks.all());
    private static final List<CollectionCheck> COLLECTION_CHECKS =
            List.of(new DuplicateNamesCheck(), new ReferencesCheck());

    private final List<Violation> violations = new ArrayList<>();
    private final List<Path> files = new ArrayList<>();
    private final List<ServiceFile> parts = new ArrayList<>();

    private PublicationCollector() {}

    /** Collects and checks every service file in the folders and their subfolders. */
    public static CollectedPublication collect(String publisher, List<Path> folders) {
        final PublicationCollector collector = new PublicationCollector();
        folders.forEach(collector::findFiles);
        collector.files.forEach(collector::readFile);
        return collector.finish(publisher);
    }

    private void findFiles(Path folder) {
        if (!Files.isDirectory(folder)) {
            logOf(folder).add(1, "", MESSAGE_NO_FOLDER);
            return;
        }
        try (Stream<Path> walk = Files.walk(folder)) {
            final List<Path> found =
                    walk.filter(path -> path.endsWith(FILE_NAME)).sorted().toList();
            if (found.isEmpty()) {
                logOf(folder).add(1, "", MESSAGE_NO_FILE, FILE_NAME);
            }
            found.stream().filter(this::isNotCollectedYet).forEach(files::add);
        } catch (IOException failure) {
            logOf(folder).add(1, "", MESSAGE_UNREADABLE, failure);
        }
    }

    private boolean isNotCollectedYet(Path file) {
        final Path normalised = file.toAbsolutePath().normalize();
        return files.stream()
                .noneMatch(known -> known.toAbsolutePath().normalize().equals(normalised));
    }

    private void readFile(Path file) {
        final String text;
        try {
            text = Files.readString(file, StandardCharsets.UTF_8);
        } catch (IOException failure) {
            logOf(file).add(1, "", MESSAGE_UNREADABLE, failure);
            return;
        }
        final TomlDocument document = TomlDocument.parse(file.toString(), text);
        final List<Violation> found = ENGINE.run(document);
        violations.addAll(found);
        if (found.isEmpty()) {
            parts.add(ServiceFileReader.read(document));
        }
    }

    private CollectedPublication finish(String publisher) {
        final ServiceFile collected = mergedParts();
        if (violations.isEmpty()) {
            COLLECTION_CHECKS.forEach(check -> check.check(collected, violations));
        }
        final Optional<PublishServices> publication =
                violations.isEmpty()
                        ? Optional.of(publication(publisher, collected))
                        : Optional.empty();
        return new CollectedPublication(files, violations.stream().sorted().toList(), publication);
    }

    private ServiceFile mergedParts() {
        return new ServiceFile(
                parts.stream().flatMap(part -> part.services().stream()).toList(),
                parts.stream().flatMap(part -> part.organisations().stream()).toList(),
                parts.stream().flatMap(part -> part.adapters().stream()).toList());
    }

    private static PublishServices publication(String publisher, ServiceFile collected) {
        return new PublishServices(
                publisher,
                sorted(collected.services(), Comparator.comparing(Service::name)),
                sorted(collected.organisations(), Comparator.comparing(Organisation::name)),
                sorted(collected.adapters(), Comparator.comparing(Adapter::name)));
    }

    private static <T> List<T> sorted(List<Located<T>> parts, Comparator<T> order) {
        return parts.stream().map(Located::value).sorted(order).toList();
    }

    private ViolationLog logOf(Path file) {
        return ViolationLog.of(file.toString(), PublicationCollector.class, violations);
    }
}
