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
	zipfExponent  = 1.0
	holdTime      = 5 * time.Second // Mean time that a request holds its slot.
	counted       = 20 * time.Second
	length        = 80 * time.Second
	renewInterval = 500 * time.Millisecond
	homeLost      = 40 * time.Second
	noticed       = 3 * time.Second // Until the instance list lacks the lost entry.
	overLimit     = 2.0             // Offered by an organisation over its limit, times the limit.
	underLimit    = 0.8
)

// size is the number of processes and organisations.
type size struct {
	entries, orgs int
	rate          float64 // Requests a second offered by all.
}

// org is one organisation's demand, limits and count.
type org struct {
	name      string
	rate      float64 // Offered requests a second.
	limits    share.Limits
	over      bool // Offers more than its rate limit.
	crowded   bool // Offers more than its concurrency limit.
	home      int
	asked     int
	admitted  int
	inUse     int
	heldTime  float64 // Integral of inUse, in seconds.
	changed   time.Duration
	peakInUse int
}

// figures are what a run shows.
type figures struct {
	orgs []*org
	asks int
}

type runner struct {
	clock  *model.Clock
	random *rand.Rand
	names  []string
	homes  []*share.Home
	locals map[[2]int]*share.Local // By entry and organisation.
	lost   int                     // Entry that is lost, -1 for none.
	found  figures
}

// run offers every organisation's requests at random entries; with loss, the
// home of the busiest organisation that is over its limit is lost.
func run(seed uint64, sz size, loss bool) figures {
	r := &runner{
		clock: &model.Clock{}, random: rand.New(rand.NewPCG(seed, 31)),
		locals: map[[2]int]*share.Local{}, lost: -1,
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
	if loss {
		r.clock.After(homeLost, func() { r.lost = r.found.orgs[0].home })
		r.clock.After(homeLost+noticed, r.moveHomes)
	}
	r.clock.Every(renewInterval, renewInterval, r.renew)
	r.clock.Run(length)
	return r.found
}

func (r *runner) addOrg(index int, rate float64) {
	o := &org{name: fmt.Sprintf("org-%d", index), rate: rate}
	o.over, o.crowded = index%5 == 0, index%5 == 1
	factor := underLimit
	if o.over {
		factor = overLimit
	}
	o.limits = share.Limits{Rate: rate / factor}
	slots := rate * holdTime.Seconds()
	if o.crowded {
		o.limits.Concurrency = max(1, int(slots/overLimit))
	} else {
		o.limits.Concurrency = 5 + int(4*slots)
	}
	o.home = r.homeOf(o, r.names)
	r.found.orgs = append(r.found.orgs, o)
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

// moveHomes gives the lost entry's organisations new homes.
func (r *runner) moveHomes() {
	for _, home := range r.homes {
		home.MarkReassigned(r.clock.Time())
	}
	names := append([]string(nil), r.names...)
	names[r.lost] = "gone"
	for _, o := range r.found.orgs {
		if o.home == r.lost {
			o.home = choose.Rendezvous(names, choose.RendezvousKey(o.name), 2)[0]
			if o.home == r.lost {
				o.home = choose.Rendezvous(names, choose.RendezvousKey(o.name), 2)[1]
			}
		}
	}
}

func (r *runner) local(entry, index int) *share.Local {
	key := [2]int{entry, index}
	if r.locals[key] == nil {
		r.locals[key] = &share.Local{}
	}
	return r.locals[key]
}

func (r *runner) request(index int, o *org) {
	entry := r.random.IntN(len(r.names))
	if entry == r.lost {
		return
	}
	now := r.clock.Now()
	if now >= counted {
		o.asked++
	}
	local := r.local(entry, index)
	if !r.admit(entry, o, local) {
		return
	}
	if now >= counted {
		o.admitted++
	}
	r.hold(o, 1)
	r.clock.After(time.Duration(r.random.ExpFloat64()*float64(holdTime)), func() {
		r.hold(o, -1)
		local.Release()
	})
}

func (r *runner) hold(o *org, change int) {
	now := r.clock.Now()
	if now > counted {
		o.heldTime += float64(o.inUse) * (now - max(counted, o.changed)).Seconds()
	}
	o.changed = now
	o.inUse += change
	o.peakInUse = max(o.peakInUse, o.inUse)
}

// admit does as an entry does: take from the share, or ask the home, or use
// the local share.
func (r *runner) admit(entry int, o *org, local *share.Local) bool {
	now := r.clock.Time()
	verdict, _ := local.TryAdmit(now, o.limits, 0)
	if verdict != share.NeedsLease {
		return verdict == share.Admitted
	}
	if o.home == r.lost {
		rank := r.random.IntN(len(r.names))
		verdict, _ = local.AdmitLocally(now, o.limits, len(r.names), rank)
		return verdict == share.Admitted
	}
	r.found.asks++
	ask := local.Ask(now, o.name, r.names[entry], 1)
	local.ApplyGrant(now, r.homes[o.home].Ask(now, o.limits, len(r.names), ask))
	verdict, _ = local.TryAdmit(now, o.limits, 1)
	return verdict == share.Admitted
}

// renew keeps the slots in use at their homes.
func (r *runner) renew() {
	now := r.clock.Time()
	for key, local := range r.locals {
		o := r.found.orgs[key[1]]
		if key[0] == r.lost || o.home == r.lost || !local.NeedsRenewal(now) {
			continue
		}
		r.found.asks++
		ask := local.RenewalRequest(o.name, r.names[key[0]])
		local.ApplyRenewal(now, r.homes[o.home].Ask(now, o.limits, len(r.names), ask))
	}
}
