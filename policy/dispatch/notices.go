package dispatch

import (
	"slices"
	"time"

	"persimmonwind.dev/policy/topology"
)

const (
	// maxPause bounds the time for which a server may ask to get no requests.
	maxPause = time.Hour
	// noticeMemory is how long a notice is kept after the server was last configured:
	// the server's row may be missing for a while, and come back from an older copy of
	// the store.
	noticeMemory = 10 * time.Minute
)

// notice is what an incarnation of a server has said of itself in answers to this entry.
// It prevails over what lists say of that incarnation.
type notice struct {
	born        int64 // The incarnation; see topology.Server.
	leaving     bool
	limit       *limitShare // Nil if the server names no limit.
	named       NamedLimit  // The limit as the server has named it.
	pausedUntil time.Time   // The server asked to get no requests until then; zero if it did not.
	configured  time.Time   // When the server was last configured, or the notice was given.
}

// concerns reports whether the notice was given by this incarnation of a server.
func (n *notice) concerns(candidate topology.Candidate) bool {
	return n != nil && n.born == candidate.Born
}

// noticeOf returns the notice of an incarnation to which a request was sent, a new one
// if it has given none.
func (d *Dispatcher) noticeOf(candidate topology.Candidate, now time.Time) *notice {
	known := d.notices[candidate.ID]
	if !known.concerns(candidate) {
		known = &notice{born: candidate.Born, configured: now}
		d.notices[candidate.ID] = known
	}
	if server := d.byID[candidate.ID]; server != nil && known.concerns(server.candidate) {
		server.notice = known
	}
	return known
}

// ServerLeaving records that a server to which a request was sent has said in its answer
// that it stops soon. It gets no further requests, whatever lists say of this
// incarnation. It reports whether this was not known.
func (d *Dispatcher) ServerLeaving(candidate topology.Candidate, now time.Time) bool {
	known := d.noticeOf(candidate, now)
	if known.leaving {
		return false
	}
	known.leaving = true
	remaining := make([]*server, 0, len(d.servers))
	for _, server := range d.servers {
		if server.notice != known {
			remaining = append(remaining, server)
		}
	}
	d.servers = remaining
	if leaving := d.byID[candidate.ID]; leaving != nil && leaving.notice == known {
		leaving.group.servers = slices.DeleteFunc(leaving.group.servers, func(s *server) bool { return s == leaving })
	}
	return true
}

// PauseRequested records that a server which refused a request has asked to get none for
// the given time. It returns the end of the pause.
func (d *Dispatcher) PauseRequested(candidate topology.Candidate, pause time.Duration, now time.Time) time.Time {
	known := d.noticeOf(candidate, now)
	if until := now.Add(min(pause, maxPause)); until.After(known.pausedUntil) {
		known.pausedUntil = until
	}
	return known.pausedUntil
}

// LimitNamed records the limit that a server to which a request was sent has named in its
// answer; nil if it names none. An answer that is not the request's final one may be an
// old one, and only lowers a limit. LimitNamed reports whether the limit has changed.
func (d *Dispatcher) LimitNamed(candidate topology.Candidate, limit *NamedLimit, final bool, now time.Time) bool {
	known := d.notices[candidate.ID]
	if !known.concerns(candidate) || known.limit == nil {
		if limit == nil {
			return false
		}
		known = d.noticeOf(candidate, now)
		known.limit = newLimitShare(now)
	} else if limit != nil && *limit == known.named || !final && (limit == nil || limit.PerSecond > known.named.PerSecond) {
		return false
	}
	if limit == nil {
		known.limit = nil
		return true
	}
	known.named = *limit
	known.limit.update(*limit, d.runningEntries(), now)
	return true
}

// limitShare returns this entry's share of the limit that the server has named, nil for
// none.
func (d *Dispatcher) limitShare(s *server, now time.Time) *limitShare {
	if s.notice == nil || s.notice.limit == nil {
		return nil
	}
	s.notice.limit.update(s.notice.named, d.runningEntries(), now)
	return s.notice.limit
}

// limitedRate returns the requests per second that this entry may send to the service and
// the time until the next one. limited is false if a server names no limit.
func (d *Dispatcher) limitedRate(now time.Time) (perSecond float64, wait time.Duration, limited bool) {
	for i, server := range d.servers {
		share := d.limitShare(server, now)
		if share == nil {
			return 0, 0, false
		}
		perSecond += share.perSecond()
		if next := share.nextAt(d.turns, server.candidate.ID, now).Sub(now); i == 0 || next < wait {
			wait = next
		}
	}
	return perSecond, wait, len(d.servers) > 0
}

// pausedUntil returns the end of the pause that the server has asked for.
func (s *server) pausedUntil() time.Time {
	if s.notice == nil {
		return time.Time{}
	}
	return s.notice.pausedUntil
}

// pauseOfAll returns the time until the first server may get requests again if all have
// asked for a pause, and 0 otherwise.
func (d *Dispatcher) pauseOfAll(now time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, server := range d.servers {
		pause := server.pausedUntil().Sub(now)
		if pause <= 0 {
			return 0
		}
		if shortest == 0 || pause < shortest {
			shortest = pause
		}
	}
	return shortest
}

// applyNotice sets the server's notice and reports whether the server may get requests
// at all.
func (d *Dispatcher) applyNotice(s *server, now time.Time) bool {
	s.notice = nil
	known := d.notices[s.candidate.ID]
	if !known.concerns(s.candidate) {
		return true
	}
	known.configured, s.notice = now, known
	return !known.leaving
}

// forgetNotices drops the notices of servers that have not been configured for long.
func (d *Dispatcher) forgetNotices(now time.Time) {
	for id, known := range d.notices {
		if now.Sub(known.configured) > noticeMemory && now.After(known.pausedUntil) {
			delete(d.notices, id)
		}
	}
}
