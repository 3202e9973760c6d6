package report

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

const (
	scrapeTimeout        = 3 * time.Second
	maxConcurrentScrapes = 32 // Maximum number of concurrent scrape requests.
	metricPrefix         = "persimmonwind_"
)

// families holds the metric families of one process by name.
type families map[string]*dto.MetricFamily

// scrape holds the metrics of all processes at one time.
type scrape struct {
	at        time.Time
	processes []families // Metrics of each process, in the order of the addresses; nil for a process that did not respond.
	errors    []error
}

// scrapeAll scrapes all processes, up to maxConcurrentScrapes at a time.
func scrapeAll(ctx context.Context, addresses []string) scrape {
	result := scrape{at: time.Now(), processes: make([]families, len(addresses)), errors: make([]error, len(addresses))}
	limit := make(chan struct{}, maxConcurrentScrapes)
	var wg sync.WaitGroup
	for index, address := range addresses {
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			result.processes[index], result.errors[index] = scrapeOne(ctx, address)
		})
	}
	wg.Wait()
	return result
}

func scrapeOne(ctx context.Context, address string) (families, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/metrics", nil)
	if err != nil {
		return nil, fmt.Errorf("process %s: %w", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("process %s: %w", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("process %s: status %d", address, response.StatusCode)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	metrics, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return nil, fmt.Errorf("process %s: %w", address, err)
	}
	return metrics, nil
}

// gauge returns the value of a gauge or counter without labels, or 0 if it is
// missing.
func (f families) gauge(name string) float64 {
	family := f[name]
	if family == nil || len(family.Metric) == 0 {
		return 0
	}
	return family.Metric[0].GetGauge().GetValue() + family.Metric[0].GetCounter().GetValue()
}

// requestsByCode returns the number of answered requests by result code.
func (f families) requestsByCode() map[string]float64 {
	counts := map[string]float64{}
	for _, metric := range f[metricPrefix+"requests_total"].GetMetric() {
		for _, label := range metric.Label {
			if label.GetName() == "code" {
				counts[label.GetValue()] += metric.GetCounter().GetValue()
			}
		}
	}
	return counts
}
