package wholesystem

import (
	"maps"
	"time"

	"persimmonwind.dev/policy/config"
)

// acceptedRevision is one accepted revision of the configuration.
type acceptedRevision struct {
	snapshot       *config.Snapshot
	acknowledged   bool      // An operator was told that the revision is accepted.
	acknowledgedAt time.Time // When the operator was told.
}

// store simulates the table service, which holds every accepted revision.
type store struct {
	up        bool
	revisions []acceptedRevision
}

func (s *store) head() *config.Snapshot { return s.revisions[len(s.revisions)-1].snapshot }

// change is an operator's take-out or return of a data centre, made through an
// entry.
type change struct {
	baseRevision    uint64
	entryDataCentre string // Data centre of the entry.
	dataCentre      string
	takeOut         bool
}

// submit applies the change by compare-and-set. It returns the revision written, or
// 0 if another change was accepted first or the entry's data centre is taken out.
func (s *store) submit(c change) uint64 {
	head := s.head()
	if head.Revision != c.baseRevision || head.DataCentres[c.entryDataCentre].TakenOut {
		return 0
	}
	next := &config.Snapshot{Revision: head.Revision + 1, BackendServers: head.BackendServers}
	next.DataCentres = maps.Clone(head.DataCentres)
	next.DataCentres[c.dataCentre] = config.DataCentre{Name: c.dataCentre, TakenOut: c.takeOut}
	s.revisions = append(s.revisions, acceptedRevision{snapshot: next})
	return next.Revision
}

// acknowledge records when the operator is told that the revision is accepted.
func (s *store) acknowledge(revision uint64, now time.Time) {
	if r := &s.revisions[revision-1]; !r.acknowledged {
		r.acknowledged, r.acknowledgedAt = true, now
	}
}

// overdueTakeOut returns the revision that took the data centre out and was
// acknowledged longer than takeOutBound ago, if no later revision has returned the
// data centre; 0 for none.
func (s *store) overdueTakeOut(dataCentre string, now time.Time) uint64 {
	overdueRevision := uint64(0)
	for _, r := range s.revisions {
		switch {
		case !r.snapshot.DataCentres[dataCentre].TakenOut:
			overdueRevision = 0
		case overdueRevision == 0 && r.acknowledged && now.Sub(r.acknowledgedAt) > takeOutBound:
			overdueRevision = r.snapshot.Revision
		}
	}
	return overdueRevision
}
