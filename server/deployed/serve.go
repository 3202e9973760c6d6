package deployed

import (
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"persimmonwind.dev/server/buildinfo"
)

// metricsPath is the URL path of the metrics.
const metricsPath = "/metrics"

// addServer adds an HTTP server that ends with the run group.
func addServer(group *run.Group, server *http.Server, listener net.Listener) {
	group.Add(func() error {
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve %s: %w", listener.Addr(), err)
		}
		return nil
	}, func(error) {
		_ = server.Close() // Closes connections that are still open.
	})
}

// newRegistry returns a metrics registry with the metrics of the Go runtime and the
// revision of the program.
func newRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	build := prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: "persimmonwind", Name: "build_info", Help: "1, with the revision of the program as a label.",
		ConstLabels: prometheus.Labels{"revision": buildinfo.Revision()},
	})
	build.Set(1)
	registry.MustRegister(collectors.NewGoCollector(), build)
	return registry
}

// metricsHandler serves the registry's metrics at metricsPath.
func metricsHandler(registry *prometheus.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(metricsPath, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return mux
}

// serverLog returns a logger that writes the errors of an http.Server, such as
// connections closed by callers, at debug level.
func serverLog(entry *logrus.Entry) *log.Logger {
	if !entry.Logger.IsLevelEnabled(logrus.DebugLevel) {
		return log.New(io.Discard, "", 0)
	}
	return log.New(entry.WriterLevel(logrus.DebugLevel), "", 0)
}
