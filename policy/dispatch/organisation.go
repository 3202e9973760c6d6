package dispatch

import (
	"math"
	"time"
)

const (
	// organisationSweep is the interval at which organisations without recent requests
	// are forgotten.
	organisationSweep = time.Second
	// largeOrganisation is the load of an organisation, relative to the mean, from which
	// it counts as large.
	largeOrganisation = 2.0
	// largeOrganisationShare is the share of a level's limit that is open to large
	// organisations while others have requests. If they used the whole limit, a request
	// of another organisation would wait for the next slot that this entry frees, 0.1 s
	// on average and often more than the slack.
	largeOrganisationShare = 0.9
)

// organisationLoad is what this entry sends for one organisation. Requests without an
// organisation count as one.
type organisationLoad struct {
	inFlight  int
	recent    float64 // Requests sent, decaying with rateWindow.
	updatedAt time.Time
}

func (o *organisationLoad) decay(now time.Time) {
	if elapsed := now.Sub(o.updatedAt); elapsed > 0 {
		o.recent *= math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
		o.updatedAt = now
	}
}

// total returns the requests in flight or sent recently.
func (o *organisationLoad) total(now time.Time) float64 {
	o.decay(now)
	return float64(o.inFlight) + o.recent
}

// organisationLoads holds the organisations with requests in flight or sent recently.
type organisationLoads struct {
	byName  map[string]*organisationLoad
	all     organisationLoad // Of all organisations together.
	sweptAt time.Time
}

// sent records that a request of the organisation is sent.
func (l *organisationLoads) sent(name string, now time.Time) {
	if l.byName == nil {
		l.byName = map[string]*organisationLoad{}
	}
	load := l.byName[name]
	if load == nil {
		load = &organisationLoad{updatedAt: now}
		l.byName[name] = load
	}
	for _, each := range []*organisationLoad{load, &l.all} {
		each.decay(now)
		each.inFlight++
		each.recent++
	}
	if now.Sub(l.sweptAt) < organisationSweep {
		return
	}
	l.sweptAt = now
	for name, other := range l.byName {
		if other.decay(now); other.inFlight <= 0 && other.recent < 0.1 {
			delete(l.byName, name)
		}
	}
}

// ended records that a request of the organisation is no longer in flight.
func (l *organisationLoads) ended(name string) {
	if load := l.byName[name]; load != nil {
		load.inFlight--
		l.all.inFlight--
	}
}

// of returns the requests of the organisation that are in flight or were sent recently.
func (l *organisationLoads) of(name string, now time.Time) float64 {
	load := l.byName[name]
	if load == nil {
		return 0
	}
	return load.total(now)
}

// isLarge reports whether the organisation sends far more than others.
func (l *organisationLoads) isLarge(name string, now time.Time) bool {
	return len(l.byName) > 1 && l.of(name, now) > largeOrganisation*l.all.total(now)/float64(len(l.byName))
}
