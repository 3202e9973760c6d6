package shares

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"persimmonwind.dev/ctl/experiment/model"
	"persimmonwind.dev/policy/choose"
	"persimmonwind.dev/policy/share"
)

const (
	zipfExponent    = 1.0              // Exponent of the Zipf distribution of load over the organisations.
	meanHoldTime    = 5 * time.Second  // Mean time for which a request occupies a concurrency slot.
	warmUp          = 20 * time.Second // Requests before this time are not counted.
	runLength       = 80 * time.Second
	renewInterval   = 500 * time.Millisecond
	homeLossAt      = 40 * time.Second // Time at which the home entry of the busiest organisation is lost.
	detectionDelay  = 3 * time.Second  // Time from the loss of an entry until it is removed from the instance list.
	overloadFactor  = 2.0              // Offered load divided by the limit, for an organisation that exceeds its limit.
	underloadFactor = 0.8              // Offered load divided by the limit, for an organisation within its limit.
)

// size is the size of the simulated system.
type size struct {
	entries, orgs int
	rate          float64 // Requests per second offered by all organisations together.
}

// org is the load, the limits and the counters of one organisation.
type org struct {
	name               string
	rate               float64 // Offered requests per second.
	limits             share.Limits
	exceedsRate        bool // The organisation offers more requests than its rate limit admits.
	exceedsConcurrency bool // The organisation offers more concurrent requests than its limit admits.
	home               int  // Index of the home entry, which leases the organisation's limits to all entries.
	requests           int
	admitted           int
	slotsInUse         int
	slotSeconds        float64 // Integral of slotsInUse over time, in slot-seconds.
	lastChangeAt       time.Duration
	peakSlotsInUse     int
}

// runStats holds the results of a run.
type runStats struct {
	orgs          []*org
	leaseRequests int
}

// runner simulates one run.
type runner struct {
	clock       *model.Clock
	random      *rand.Rand
	names       []string
	homes       []*share.Home           // Rate tokens and granted leases of the organisations for which an entry is the home entry, by the index of the entry.
	localShares map[[2]int]*share.Local // Leases that each entry has from home entries, by the indices of the entry and the organisation.
	lostEntry   int                     // Index of the entry that has been lost; -1 for none.
	stats       runStats
}

// run sends every organisation's requests to random entries. With loseHome, it
// loses the entry that is the home of the busiest organisation, which exceeds its
// rate limit.
func run(seed uint64, sz size, loseHome bool) runStats {
	r := &runner{
		clock: &model.Clock{}, random: rand.New(rand.NewPCG(seed, 31)),
		localShares: map[[2]int]*share.Local{}, lostEntry: -1,
	}
	for entry := range sz.entries {
		r.names = append(r.names, fmt.Sprintf("entry-%d", entry))
		r.homes = append(r.homes, share.NewHome(r.clock.Time().Add(-share.SlotTTL)))
	}
	total := 0.0
	for index := range sz.orgs {
		total += 1 / math.Pow(float64(index+1), zipfExponent)
	}
	for index := range sz.orgs {
		r.addOrg(index, sz.rate/total/math.Pow(float64(index+1), zipfExponent))
	}
	if loseHome {
		r.clock.After(homeLossAt, func() { r.lostEntry = r.stats.orgs[0].home })
		r.clock.After(homeLossAt+detectionDelay, r.reassignHomes)
	}
	r.clock.Every(renewInterval, renewInterval, r.renew)
	r.clock.Run(runLength)
	return r.stats
}

func (r *runner) addOrg(index int, rate float64) {
	o := &org{name: fmt.Sprintf("org-%d", index), rate: rate}
	o.exceedsRate, o.exceedsConcurrency = index%5 == 0, index%5 == 1
	factor := underloadFactor
	if o.exceedsRate {
		factor = overloadFactor
	}
	o.limits = share.Limits{Rate: rate / factor}
	slots := rate * meanHoldTime.Seconds()
	if o.exceedsConcurrency {
		o.limits.Concurrency = max(1, int(slots/overloadFactor))
	} else {
		o.limits.Concurrency = 5 + int(4*slots)
	}
	o.home = r.homeOf(o, r.names)
	r.stats.orgs = append(r.stats.orgs, o)
	var arrive func()
	arrive = func() {
		r.request(index, o)
		r.clock.After(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	r.clock.After(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), arrive)
}

func (r *runner) homeOf(o *org, names []string) int {
	return choose.Rendezvous(names, choose.RendezvousKey(o.name), 1)[0]
}

// reassignHomes chooses a new home entry for each organisation whose home entry is
// lost.
func (r *runner) reassignHomes() {
	for _, home := range r.homes {
		home.MarkReassigned(r.clock.Time())
	}
	names := append([]string(nil), r.names...)
	names[r.lostEntry] = "gone"
	for _, o := range r.stats.orgs {
		if o.home == r.lostEntry {
			o.home = choose.Rendezvous(names, choose.RendezvousKey(o.name), 2)[0]
			if o.home == r.lostEntry {
				o.home = choose.Rendezvous(names, choose.RendezvousKey(o.name), 2)[1]
			}
		}
	}
}

func (r *runner) local(entry, index int) *share.Local {
	key := [2]int{entry, index}
	if r.localShares[key] == nil {
		r.localShares[key] = &share.Local{}
	}
	return r.localShares[key]
}

func (r *runner) request(index int, o *org) {
	entry := r.random.IntN(len(r.names))
	if entry == r.lostEntry {
		return
	}
	now := r.clock.Now()
	if now >= warmUp {
		o.requests++
	}
	local := r.local(entry, index)
	if !r.admit(entry, o, local) {
		return
	}
	if now >= warmUp {
		o.admitted++
	}
	r.changeInUse(o, 1)
	r.clock.After(time.Duration(r.random.ExpFloat64()*float64(meanHoldTime)), func() {
		r.changeInUse(o, -1)
		local.Release()
	})
}

func (r *runner) changeInUse(o *org, change int) {
	now := r.clock.Now()
	if now > warmUp {
		o.slotSeconds += float64(o.slotsInUse) * (now - max(warmUp, o.lastChangeAt)).Seconds()
	}
	o.lastChangeAt = now
	o.slotsInUse += change
	o.peakSlotsInUse = max(o.peakSlotsInUse, o.slotsInUse)
}

// admit reports whether the entry admits a request of the organisation. Like a real
// entry, it uses its lease, else asks the organisation's home entry for a new one.
// If the home entry is lost, it admits up to its own part of the limits.
func (r *runner) admit(entry int, o *org, local *share.Local) bool {
	now := r.clock.Time()
	decision, _ := local.TryAdmit(now, o.limits, 0)
	if decision != share.NeedsLease {
		return decision == share.Admitted
	}
	if o.home == r.lostEntry {
		rank := r.random.IntN(len(r.names))
		decision, _ = local.AdmitLocally(now, o.limits, len(r.names), rank)
		return decision == share.Admitted
	}
	r.stats.leaseRequests++
	ask := local.Ask(now, o.name, r.names[entry], 1)
	local.ApplyGrant(now, r.homes[o.home].Ask(now, o.limits, len(r.names), ask))
	decision, _ = local.TryAdmit(now, o.limits, 1)
	return decision == share.Admitted
}

// renew asks the home entry of each organisation to renew the leases of the
// concurrency slots that the requests at each entry occupy.
func (r *runner) renew() {
	now := r.clock.Time()
	for key, local := range r.localShares {
		o := r.stats.orgs[key[1]]
		if key[0] == r.lostEntry || o.home == r.lostEntry || !local.NeedsRenewal(now) {
			continue
		}
		r.stats.leaseRequests++
		ask := local.RenewalRequest(o.name, r.names[key[0]])
		local.ApplyRenewal(now, r.homes[o.home].Ask(now, o.limits, len(r.names), ask))
	}
}
