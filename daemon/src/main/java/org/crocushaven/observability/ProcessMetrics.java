package org.crocushaven.observability;

import com.sun.management.OperatingSystemMXBean;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryUsage;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * Registers metrics of the memory, threads and processor time of the process, read at each scrape.
 */
final class ProcessMetrics {
    private ProcessMetrics() {}

    /** Registers the metrics of this process. */
    static void register(PrometheusRegistry registry) {
        gauge(registry, "jvm_heap_used_bytes", "Heap in use.", () -> heap().getUsed());
        gauge(registry, "jvm_heap_max_bytes", "Largest heap.", () -> heap().getMax());
        gauge(
                registry,
                "jvm_threads",
                "Live threads.",
                () -> ManagementFactory.getThreadMXBean().getThreadCount());
        counter(
                registry,
                "process_cpu_seconds",
                "Processor time of the process.",
                ProcessMetrics::cpuSeconds);
        counter(
                registry,
                "jvm_collection_seconds",
                "Time of garbage collections.",
                ProcessMetrics::collectionSeconds);
    }

    private static void gauge(
            PrometheusRegistry registry, String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    private static void counter(
            PrometheusRegistry registry, String name, String help, DoubleSupplier value) {
        CounterWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    private static MemoryUsage heap() {
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage();
    }

    private static double cpuSeconds() {
        final OperatingSystemMXBean system =
                ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
        return system.getProcessCpuTime() / (double) TimeUnit.SECONDS.toNanos(1);
    }

    private static double collectionSeconds() {
        return ManagementFactory.getGarbageCollectorMXBeans().stream()
                        .mapToLong(GarbageCollectorMXBean::getCollectionTime)
                        .sum()
                / (double) TimeUnit.SECONDS.toMillis(1);
    }
}
