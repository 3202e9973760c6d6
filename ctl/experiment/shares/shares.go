// Package shares simulates how well organisations' limits hold across entry
// instances, with the real policy of policy/share. Each organisation has one home
// entry, chosen by rendezvous hashing. It leases rate tokens and concurrency slots
// to all entries, so that together they stay within the limits.
package shares

import (
	"context"
	"fmt"
	"math"

	"persimmonwind.dev/ctl/experiment"
	sharepolicy "persimmonwind.dev/policy/share"
)

// Experiment is the experiment "shares", which runs this package's simulation.
var Experiment = experiment.Experiment{
	Name:    "shares",
	Summary: "organisations' rate and concurrency limits across entries",
	Run:     Run,
}

var sizes = []size{
	{entries: 3, orgs: 10, rate: 30},
	{entries: 33, orgs: 1500, rate: 270},
	{entries: 330, orgs: 15000, rate: 2700},
}

// tolerance is the accepted relative deviation from an organisation's limit.
const tolerance = 0.1

// minBusyRateOrSlotLimit is the rate limit, in requests per second, or concurrency
// limit, in slots, from which the count of a single organisation is large enough to
// be compared with its limit.
const minBusyRateOrSlotLimit = 5.0

// summary holds the figures of one run. Rates and slots are relative to the
// organisation's limit. A busy organisation has a limit of at least
// minBusyRateOrSlotLimit.
type summary struct {
	minBusyRate, maxBusyRate float64 // Lowest and highest admitted rate of a busy organisation that offers more than its limit.
	overLimitRate            float64 // Total admitted rate of the organisations that offer more than their rate limit, divided by the sum of those limits.
	underLimitAdmitted       float64 // Admitted requests divided by offered requests, for the organisations within their limits.
	slots                    float64 // Mean concurrency slots in use by the busy organisations that offer more than their concurrency limit.
	maxSlotsInUse            float64 // Highest number of concurrency slots in use by an organisation that offers more than its concurrency limit.
	leaseRequests            float64 // Lease requests to home entries, divided by the requests of callers.
	orgsBeyondBurst          int     // Organisations that got more than their limit, the tolerance and one burst.
}

func (s runStats) summary() summary {
	seconds := (runLength - warmUp).Seconds()
	result := summary{minBusyRate: math.Inf(1)}
	var admittedOverLimit, overLimits, admittedWithinLimit, requestsWithinLimit, meanInUse, slots, requests float64
	for _, o := range s.orgs {
		requests += float64(o.requests)
		ratio := float64(o.admitted) / (o.limits.Rate * seconds)
		if float64(o.admitted) > (1+tolerance)*o.limits.Rate*seconds+sharepolicy.Burst(o.limits.Rate) {
			result.orgsBeyondBurst++
		}
		switch {
		case o.exceedsRate:
			admittedOverLimit += float64(o.admitted)
			overLimits += o.limits.Rate * seconds
			if o.limits.Rate >= minBusyRateOrSlotLimit {
				result.minBusyRate, result.maxBusyRate = min(result.minBusyRate, ratio), max(result.maxBusyRate, ratio)
			}
		case o.exceedsConcurrency:
			result.maxSlotsInUse = max(result.maxSlotsInUse, float64(o.peakSlotsInUse)/float64(o.limits.Concurrency))
			if float64(o.limits.Concurrency) >= minBusyRateOrSlotLimit {
				meanInUse += o.slotSeconds / seconds
				slots += float64(o.limits.Concurrency)
			}
		default:
			admittedWithinLimit += float64(o.admitted)
			requestsWithinLimit += float64(o.requests)
		}
	}
	result.overLimitRate, result.underLimitAdmitted = admittedOverLimit/overLimits, admittedWithinLimit/max(1, requestsWithinLimit)
	result.slots = meanInUse / max(1, slots)
	result.leaseRequests = float64(s.leaseRequests) / requests * seconds / runLength.Seconds()
	return result
}

// Run simulates all sizes, each with and without the loss of the home entry of the
// busiest organisation.
func Run(ctx context.Context, options experiment.Options) (experiment.Report, error) {
	report := experiment.Report{Title: "Organisations' limits across entries"}
	table := experiment.Table{Columns: []string{
		"entries", "organisations", "home lost", "busy: least % of limit", "busy: most %", "all over limit %",
		"under limit, admitted %", "slots in use %", "most slots %", "asks/request", "beyond limit and burst",
	}}
	runSizes := sizes
	if options.Quick {
		runSizes = sizes[:2]
	}
	for _, sz := range runSizes {
		for _, loseHome := range []bool{false, true} {
			if err := ctx.Err(); err != nil {
				return report, err
			}
			result := run(options.Seed, sz, loseHome).summary()
			percent := func(value float64) string { return fmt.Sprintf("%.1f", 100*value) }
			table.Rows = append(table.Rows, []string{
				fmt.Sprint(sz.entries), fmt.Sprint(sz.orgs), fmt.Sprint(loseHome), percent(result.minBusyRate), percent(result.maxBusyRate),
				percent(result.overLimitRate), percent(result.underLimitAdmitted), percent(result.slots), percent(result.maxSlotsInUse), fmt.Sprintf("%.2f", result.leaseRequests), fmt.Sprint(result.orgsBeyondBurst),
			})
		}
	}
	report.Tables = []experiment.Table{table}
	return report, nil
}
