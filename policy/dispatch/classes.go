package dispatch

import "time"

const (
	// classPauseGoalShare replaces pauseGoalShare for services with classes: single
	// passes vary above the mean, and one that is longer than the pause makes all streams
	// late.
	classPauseGoalShare = 0.82
	// largeGroupClassPauseGoalShare replaces classPauseGoalShare in large groups.
	largeGroupClassPauseGoalShare = 0.78
	// classMarginPasses replaces engineMarginPasses for services with classes. In an
	// overload most requests are sent with the least slack, and with 2.5 passes a tenth of
	// the answers were late; late requests have a share of their own instead.
	classMarginPasses = 3.2
)

// Reasons of decisions about tickets of services with classes.
const (
	reasonLateShare  = "late_share"  // Late requests use all that those on time leave to them.
	reasonClassLimit = "class_limit" // The remaining room is reserved for more urgent levels.
	// The remaining room is reserved for organisations that send less.
	reasonOrganisationLimit = "organisation_limit"
	// The prompts that passes read next would make them too long.
	reasonReadingBudget = "reading_budget"
)

// waitReason returns why the last ticket could not be sent.
func (d *Dispatcher) waitReason() string {
	if d.blockedBy != "" {
		return d.blockedBy
	}
	return "no_room"
}

// goalShare returns the share of the longest allowed pause that one pass may take.
func (l *ConcurrencyLimiter) goalShare(servers int) float64 {
	switch large := servers >= largeGroupServers; {
	case l.classed && large:
		return largeGroupClassPauseGoalShare
	case l.classed:
		return classPauseGoalShare
	case large:
		return largeGroupPauseGoalShare
	default:
		return pauseGoalShare
	}
}

// mayDispatchClass reports whether the limit of a group allows a ticket of a service with
// classes to be sent there.
func (d *Dispatcher) mayDispatchClass(ticket Ticket, g *group, limit, total int, now time.Time) bool {
	g.trackOpening(now)
	if !d.meetsSLO(ticket, now) && !d.mayDispatchLate(g, float64(limit), float64(total), now) {
		d.blockedBy = reasonLateShare
		return false
	}
	share := 1.0
	if level := d.classes.Level(ticket.Priority); !g.classLoad.underGuarantee(level) {
		share = d.classes.Share(level, &d.demand, g.reportedState(now) != unreported, now)
	}
	reason := ""
	if share < 1 {
		reason = reasonClassLimit
	}
	if d.organisations.isLarge(ticket.Organisation, now) {
		share *= largeOrganisationShare
		reason = reasonOrganisationLimit
	}
	// The budget comes before the room, so that its bound of the wait counts from the first try.
	if !d.mayRead(ticket, g, now) {
		d.blockedBy = reasonReadingBudget
		return false
	}
	if d.hasShareOfRoom(g, share*float64(limit), float64(total), now) {
		return true
	}
	if reason != "" && d.hasShareOfRoom(g, float64(limit), float64(total), now) {
		d.blockedBy = reason
	}
	return false
}
