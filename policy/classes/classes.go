// Package classes groups the routes of one service into levels of urgency and decides how
// much of the service's capacity requests of each level may use.
//
// It is active only for services whose routes differ in priority or in latency objective.
package classes

import (
	"slices"
	"time"
)

// Route is the part of a streaming route that determines its level.
type Route struct {
	Priority  int           // 0 is the most urgent.
	Objective time.Duration // Time to the first event within which an answer is on time.
}

// Table holds the levels of one service's routes. The zero Table has no levels.
type Table struct {
	priorities []int // Distinct priorities, the most urgent first.
	enabled    bool
}

// NewTable returns the table of a service with these streaming routes.
func NewTable(routes []Route) Table {
	var table Table
	for _, route := range routes {
		table.priorities = append(table.priorities, route.Priority)
		if route != routes[0] {
			table.enabled = true
		}
	}
	table.priorities = distinct(table.priorities)
	return table
}

// priorityLimit bounds the priorities that Combine tells apart, so that it cannot overflow.
const priorityLimit = 1000

// Combine returns one priority for that of an organisation, which goes first, and that of a
// route, which decides among requests whose organisations have the same.
func Combine(organisation, route int) int {
	clamp := func(priority int) int { return min(max(priority, 0), priorityLimit-1) }
	return clamp(organisation)*priorityLimit + clamp(route)
}

// Combined returns the table for priorities that Combine returns, where organisations are
// the priorities that organisations have. Requests of organisations without one have that
// of their route in its place.
func (t Table) Combined(organisations []int) Table {
	combined := Table{enabled: t.enabled}
	for _, route := range t.priorities {
		combined.priorities = append(combined.priorities, Combine(route, route))
		for _, organisation := range distinct(slices.Clone(organisations)) {
			combined.priorities = append(combined.priorities, Combine(organisation, route))
		}
	}
	combined.priorities = distinct(combined.priorities)
	return combined
}

// distinct sorts priorities and removes repetitions in place.
func distinct(priorities []int) []int {
	slices.Sort(priorities)
	return slices.Compact(priorities)
}

// Enabled reports whether requests of the service are scheduled by class: its routes
// differ in priority or in latency objective.
func (t Table) Enabled() bool { return t.enabled }

// Levels returns the number of levels, at least 1.
func (t Table) Levels() int { return max(1, len(t.priorities)) }

// Level returns the level of a priority, 0 for the most urgent. A priority that no route
// has belongs to the next less urgent level, or to the last.
func (t Table) Level(priority int) int {
	level, _ := slices.BinarySearch(t.priorities, priority)
	return min(level, t.Levels()-1)
}
