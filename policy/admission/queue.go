package admission

import (
	"math"
	"time"
)

// priorityFactor divides an organisation's weight for each step of priority below
// the highest. Low priorities wait longer but are never starved.
const priorityFactor = 8

// queue is a weighted fair queue by organisation and priority (start-time fair
// queueing): each request has a virtual finish time, and the request with the
// least is served first. The queue is short, so linear scans are fast enough.
type queue struct {
	virtualTime float64 // Virtual time: the start tag of the request served last.
	lastFinish  map[flow]float64
	waiting     []queued
	cost        float64 // Total cost of the waiting requests.
}

// flow identifies the requests that share one weight.
type flow struct {
	org      string
	priority int
}

type queued struct {
	SlotRequested
	start, finish float64
	cost          float64   // Tokens that the backend server reads before the first piece.
	expires       time.Time // When the request is refused if it is still waiting.
}

func newQueue() queue { return queue{lastFinish: map[flow]float64{}} }

func (q *queue) len() int { return len(q.waiting) }

func (q *queue) push(event SlotRequested, cost float64, now time.Time) {
	weight := event.Weight
	if weight <= 0 {
		weight = 1
	}
	key := flow{event.Org, event.Priority}
	start := max(q.virtualTime, q.lastFinish[key])
	finish := start + math.Pow(priorityFactor, float64(event.Priority))/weight
	q.lastFinish[key] = finish
	expires := now.Add(maxWait)
	if !event.Deadline.IsZero() && event.Deadline.Before(expires) {
		expires = event.Deadline
	}
	q.waiting = append(q.waiting, queued{SlotRequested: event, start: start, finish: finish, cost: cost, expires: expires})
	q.cost += cost
}

// popFirst removes and returns the request with the least finish tag.
func (q *queue) popFirst() SlotRequested {
	first := 0
	for index := range q.waiting {
		if q.waiting[index].finish < q.waiting[first].finish {
			first = index
		}
	}
	served := q.take(first)
	q.virtualTime = max(q.virtualTime, served.start)
	q.pruneFlows()
	return served.SlotRequested
}

// popLast removes and returns the request with the greatest finish tag, the newest
// of equals, and returns its share to its flow.
func (q *queue) popLast() SlotRequested {
	last := 0
	for index := range q.waiting {
		if q.waiting[index].finish >= q.waiting[last].finish {
			last = index
		}
	}
	return q.drop(last).SlotRequested
}

// popExpired removes the requests that have waited too long, or all, and returns
// their tickets.
func (q *queue) popExpired(now time.Time, all bool) []uint64 {
	var tickets []uint64
	for index := 0; index < len(q.waiting); {
		if !all && now.Before(q.waiting[index].expires) {
			index++
			continue
		}
		tickets = append(tickets, q.drop(index).Ticket)
	}
	return tickets
}

// remove removes the ticket and reports whether it was queued.
func (q *queue) remove(ticket uint64) bool {
	for index := range q.waiting {
		if q.waiting[index].Ticket == ticket {
			q.drop(index)
			return true
		}
	}
	return false
}

// drop removes a request that was not served. The later requests of its flow move
// forward by its share.
func (q *queue) drop(index int) queued {
	dropped := q.take(index)
	key := flow{dropped.Org, dropped.Priority}
	share := dropped.finish - dropped.start
	for index := range q.waiting {
		other := &q.waiting[index]
		if (flow{other.Org, other.Priority}) == key && other.finish > dropped.finish {
			other.start -= share
			other.finish -= share
		}
	}
	q.lastFinish[key] -= share
	return dropped
}

func (q *queue) take(index int) queued {
	taken := q.waiting[index]
	q.cost -= taken.cost
	q.waiting = append(q.waiting[:index], q.waiting[index+1:]...)
	if len(q.waiting) == 0 {
		q.cost = 0
	}
	return taken
}

// pruneFlows removes the flows whose last finish tag is not ahead of the virtual
// time.
func (q *queue) pruneFlows() {
	if len(q.lastFinish) <= 2*len(q.waiting)+64 {
		return
	}
	for key, finish := range q.lastFinish {
		if finish <= q.virtualTime {
			delete(q.lastFinish, key)
		}
	}
}
