// Package telemetry creates the logger of a daemon and its OpenTelemetry
// metrics, which are served in the Prometheus format.
//
// The logger writes in a goroutine of its own, so that a slow output does not
// block the daemon. Telemetry.Close ends that goroutine.
package telemetry

import (
	"context"
	"fmt"
	"net/http"
	"os"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Telemetry holds the logger and the meter provider of one daemon.
type Telemetry struct {
	Log     *zap.Logger
	Meters  metric.MeterProvider
	Metrics http.Handler // serves Meters in the Prometheus format

	provider *sdk.MeterProvider
	sink     *logSink
}

// New returns the telemetry of the daemon called name. Level is a zap level
// such as "info".
func New(name, level string) (*Telemetry, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reader, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, fmt.Errorf("build metrics exporter: %w", err)
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader))
	dropped, err := provider.Meter("daisywall/telemetry").Int64Counter("daisywall.log.dropped", metric.WithDescription("Log lines dropped since the output or the rate did not allow them"))
	if err != nil {
		return nil, fmt.Errorf("build log counter: %w", err)
	}
	sink := newLogSink(os.Stdout, dropped)
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoding), sink, parsed))
	return &Telemetry{
		Log:      log.Named(name),
		Meters:   provider,
		Metrics:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		provider: provider,
		sink:     sink,
	}, nil
}

// Close writes the queued log lines, flushes the metrics and stops both.
func (t *Telemetry) Close(ctx context.Context) error {
	t.sink.Close()
	return t.provider.Shutdown(ctx)
}
