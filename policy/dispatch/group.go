package dispatch

import (
	"cmp"
	"slices"
	"time"

	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/policy/workload"
)

// group is a group of a service's servers, as this entry sees it. The servers of an
// engine group execute each forward pass together, so that its passes, its limit and
// whether it takes work say nothing of the service's other groups. The servers of a
// plain service, and engines that have not reported their group yet, are in the group
// with the empty name.
type group struct {
	name    string
	pace    ConcurrencyLimiter
	gate    gate
	servers []*server

	opening     opening
	classLoad   classLoad
	promptsRead tokenRate // Prompts of this entry whose first event has come.

	activeSince time.Time // Since when the group's servers have sent events without a long break; zero while none sends any.
}

// joinGroup moves the server to the group with the name. A new group takes over what is
// known of passes from the server's previous one.
func (d *Dispatcher) joinGroup(s *server, name string) {
	if s.group != nil && s.group.name == name {
		return
	}
	joined := d.groups[name]
	if joined == nil {
		joined = &group{name: name}
		if s.group != nil {
			joined.pace, joined.gate, joined.activeSince = s.group.pace, s.group.gate, s.group.activeSince
			joined.opening.openedAt = s.group.opening.openedAt
		}
		d.groups[name] = joined
	}
	if s.group != nil {
		s.group.servers = slices.DeleteFunc(s.group.servers, func(other *server) bool { return other == s })
	}
	s.group = joined
	if slices.Contains(d.servers, s) {
		joined.servers = append(joined.servers, s)
	}
}

// regroup rebuilds the groups' lists of servers and drops groups without any. Servers
// that have not reported a group are in the one with the empty name.
func (d *Dispatcher) regroup(engine *topology.Engine, pauseGoal time.Duration) {
	d.engine, d.reading.model = engine, workload.NewModel(engine)
	if d.groups[""] == nil {
		d.groups[""] = &group{}
	}
	for _, g := range d.groups {
		g.servers = nil
		g.pace.configure(engine, pauseGoal, d.classes.Enabled())
	}
	for _, s := range d.byID {
		if s.group == nil {
			s.group = d.groups[""]
		}
	}
	for _, s := range d.servers {
		s.group.servers = append(s.group.servers, s)
	}
	for name, g := range d.groups {
		if len(g.servers) == 0 {
			delete(d.groups, name)
		}
	}
}

// groupsInOrder returns the groups in the order in which they are considered for a
// request, and what remains of the random number. The first one is drawn with a
// probability in proportion to its free capacity, as other entries choose on the same
// reports at the same time; the others follow in the order of their utilization. Engines
// whose group is unknown come last: nothing is known of their load.
func (d *Dispatcher) groupsInOrder(random float64, now time.Time) ([]*group, float64) {
	ordered := make([]*group, 0, len(d.groups))
	for _, g := range d.groups {
		ordered = append(ordered, g)
	}
	if len(ordered) < 2 {
		return ordered, random
	}
	utilization, free := map[*group]float64{}, map[*group]float64{}
	total := 0.0
	for _, g := range ordered {
		limit, inFlight := float64(g.limit()), float64(g.inFlight(now))
		utilization[g] = inFlight / max(1, limit)
		if g.name != "" && g.gate.allows(g.reportedState(now), now) {
			free[g] = max(0, limit-inFlight)
			total += free[g]
		}
	}
	slices.SortFunc(ordered, func(a, b *group) int {
		if (a.name == "") != (b.name == "") {
			return cmp.Compare(b.name, a.name)
		}
		return cmp.Or(cmp.Compare(utilization[a], utilization[b]), cmp.Compare(a.name, b.name))
	})
	if total == 0 {
		return ordered, random
	}
	drawn := random * total
	for i, g := range ordered {
		if drawn < free[g] {
			copy(ordered[1:i+1], ordered[:i])
			ordered[0] = g
			return ordered, drawn / free[g]
		}
		drawn -= free[g]
	}
	return ordered, random
}

// limit returns the group's concurrency limit, 0 for none.
func (g *group) limit() int { return g.pace.limit(len(g.servers)) }

// inFlight returns the number of requests of all entries in flight at the group, as far
// as known.
func (g *group) inFlight(now time.Time) int {
	total := 0
	for _, server := range g.servers {
		total += server.load(now)
	}
	return total
}

// reportedState returns whether the group takes work according to the majority of its
// servers with a recent load report.
func (g *group) reportedState(now time.Time) reportedState {
	open, closed := 0, 0
	for _, server := range g.servers {
		switch {
		case !server.fresh(now):
		case server.closed:
			closed++
		default:
			open++
		}
	}
	switch {
	case open+closed == 0:
		return unreported
	case open > closed:
		return reportsOpen
	default:
		return reportsClosed
	}
}

// maxSlowdown returns the slowdown of the slowest server that has requests, 1 if
// none is slow.
func (g *group) maxSlowdown(now time.Time) float64 {
	maxSlowdown := 1.0
	for _, server := range g.servers {
		if server.fresh(now) && server.ownRequests+server.otherRequests > 0 {
			maxSlowdown = max(maxSlowdown, server.slowdown)
		}
	}
	return maxSlowdown
}

// activeWithin reports whether a server of the group has sent an event within the time.
func (g *group) activeWithin(window time.Duration, now time.Time) bool {
	return slices.ContainsFunc(g.servers, func(s *server) bool { return now.Sub(s.lastEventAt) < window })
}

// trackActivity updates activeSince.
func (g *group) trackActivity(now time.Time) {
	switch {
	case !g.activeWithin(groupActiveWindow, now):
		g.activeSince = time.Time{}
	case g.activeSince.IsZero():
		g.activeSince = now
	}
}

// anyClosed reports whether a group of the service takes no work.
func (d *Dispatcher) anyClosed() bool {
	for _, g := range d.groups {
		if g.gate.closed {
			return true
		}
	}
	return false
}

// allClosed reports whether all groups of the service take no work.
func (d *Dispatcher) allClosed() bool {
	for _, g := range d.groups {
		if !g.gate.closed {
			return false
		}
	}
	return len(d.groups) > 0
}

// passesDuration returns the duration of count passes of the group with the shortest
// passes among those that take work.
func (d *Dispatcher) passesDuration(count float64) time.Duration {
	shortest, shortestOpen := time.Duration(0), time.Duration(0)
	for _, g := range d.groups {
		duration := g.pace.passesDuration(count)
		if shortest == 0 || duration < shortest {
			shortest = duration
		}
		if !g.gate.closed && (shortestOpen == 0 || duration < shortestOpen) {
			shortestOpen = duration
		}
	}
	if shortestOpen > 0 {
		return shortestOpen
	}
	return shortest
}
