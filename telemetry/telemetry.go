// Package telemetry gives a daemon its logger and its OpenTelemetry metrics,
// served in the Prometheus format.
package telemetry

import (
	"context"
	"fmt"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Telemetry is the logger and the meter provider of one daemon.
type Telemetry struct {
	Log     *zap.Logger
	Meters  metric.MeterProvider
	Metrics http.Handler // the Prometheus exposition of Meters

	provider *sdk.MeterProvider
}

// New returns the telemetry of the daemon called name. Level is a zap level
// such as "info".
func New(name, level string) (*Telemetry, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(parsed)
	config.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	config.DisableStacktrace = true
	log, err := config.Build()
	if err != nil {
		return nil, fmt.Errorf("build logger: %w", err)
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reader, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, fmt.Errorf("build metrics exporter: %w", err)
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader))
	return &Telemetry{
		Log:      log.Named(name),
		Meters:   provider,
		Metrics:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		provider: provider,
	}, nil
}

// Close flushes the metrics and the log.
func (t *Telemetry) Close(ctx context.Context) error {
	// Syncing a terminal fails on some systems and loses nothing.
	_ = t.Log.Sync()
	return t.provider.Shutdown(ctx)
}
