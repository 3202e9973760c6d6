package mapcontrol

import (
	"maps"
	"slices"
	"time"

	"persimmonwind.dev/policy/mapswitch"
	"persimmonwind.dev/policy/topology"
)

// membersToRead returns the members of the group in the current epoch, including those
// that c.members no longer lists, and some of the listed members whose group is unknown.
func (c *coordinator) membersToRead(size int) []Member {
	listed := c.members()
	c.mu.Lock()
	defer c.mu.Unlock()
	ranks := map[string]bool{}
	members := make([]Member, 0, len(c.membersByRank))
	for _, rank := range slices.Sorted(maps.Keys(c.membersByRank)) { // A stable order, since counts are read round-robin.
		member := c.membersByRank[rank]
		ranks[member.Server] = true
		members = append(members, member)
	}
	for _, server := range slices.Sorted(maps.Keys(c.likelyMembers)) {
		if !ranks[server] {
			ranks[server] = true
			members = append(members, c.likelyMembers[server])
		}
	}
	ttl := foreignMemberTTL
	if len(c.membersByRank) < size {
		ttl = foreignMemberTTLWhileSearching
	}
	unknown := 0
	for i := range listed {
		// Start where the previous round stopped, so that members that never answer
		// don't keep the others from being read.
		member := listed[(c.nextUnknownIndex+i)%len(listed)]
		if ranks[member.Server] || time.Since(c.foreignReportedAt[member.Server]) < ttl {
			continue
		}
		if unknown == maxUnknownReads {
			c.nextUnknownIndex = (c.nextUnknownIndex + i) % len(listed)
			break
		}
		unknown++
		members = append(members, member)
	}
	return members
}

// recordReport updates the known ranks from a rank's report and posts the report to the
// control loop, unless it is a report of another group or of a group that is forming.
func (c *coordinator) recordReport(member Member, read mapswitch.RankRead) {
	if c.recordMember(member, read.State) {
		c.loop.Post(read)
	} else if c.isForeign(read.State) {
		c.peers.Drop(member.Agent) // It won't be called again soon.
	}
}

// recordMember updates the known ranks from a rank's report. It reports whether the
// report concerns the coordinator's group and the group takes work. A member of another
// group is only marked as foreign: its agent may be the relay of others.
func (c *coordinator) recordMember(member Member, state topology.RankState) bool {
	if c.isForeign(state) {
		c.markForeign(member)
	}
	if state.Group != c.group {
		return false
	}
	c.opening.observe(state)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !state.Open {
		c.markLikely(member)
		return false
	}
	if state.Epoch > c.epoch {
		c.epoch = state.Epoch
		for _, former := range c.membersByRank {
			c.markLikely(former)
		}
		c.membersByRank = map[int]Member{}
	}
	delete(c.likelyMembers, member.Server)
	if state.Epoch == c.epoch {
		c.membersByRank[state.Rank] = member
	}
	return true
}

// markLikely makes the member be read in each round until it is a rank or reports another
// group, so that a coordinator in a large service need not search for the ranks of a new
// epoch. c.mu must be held.
func (c *coordinator) markLikely(member Member) {
	if c.classAware() {
		c.likelyMembers[member.Server] = member
	}
}

// isForeign reports whether the rank belongs to another group.
func (c *coordinator) isForeign(state topology.RankState) bool {
	return state.Group != "" && state.Group != c.group
}

// markForeign records that the member belongs to another group.
func (c *coordinator) markForeign(member Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.foreignReportedAt[member.Server] = time.Now()
	delete(c.likelyMembers, member.Server)
}

// member returns the member with the rank, and false if it is unknown.
func (c *coordinator) member(rank int) (Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	member, ok := c.membersByRank[rank]
	return member, ok
}

func (c *coordinator) isRank(member Member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, rankMember := range c.membersByRank {
		if rankMember == member {
			return true
		}
	}
	return false
}
