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
	virtualTime float64          // The greatest virtual start time of the requests served so far.
	lastFinish  map[flow]float64 // Virtual finish time of the last request of each flow.
	waiting     []queuedRequest
	cost        float64 // Total cost of the waiting requests.
}

// flow identifies the requests that share one weight: those of one organisation
// with one priority.
type flow struct {
	org      string
	priority int
}

// queuedRequest is a request that waits for a slot.
type queuedRequest struct {
	SlotRequested
	start, finish float64   // Virtual start and finish time in fair queueing.
	cost          float64   // Estimated work before the first chunk of the answer, in tokens.
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
	q.waiting = append(q.waiting, queuedRequest{SlotRequested: event, start: start, finish: finish, cost: cost, expires: expires})
	q.cost += cost
}

// popFirst removes and returns the request with the least virtual finish time.
func (q *queue) popFirst() SlotRequested {
	first := 0
	for index := range q.waiting {
		if q.waiting[index].finish < q.waiting[first].finish {
			first = index
		}
	}
	request := q.removeAt(first)
	q.virtualTime = max(q.virtualTime, request.start)
	q.pruneFlows()
	return request.SlotRequested
}

// popLast removes and returns the request with the greatest virtual finish time,
// the newest of equals, and does not charge its flow for it.
func (q *queue) popLast() SlotRequested {
	last := 0
	for index := range q.waiting {
		if q.waiting[index].finish >= q.waiting[last].finish {
			last = index
		}
	}
	return q.removeUnserved(last).SlotRequested
}

// popExpired removes the requests that have waited too long, or every request if
// all is set, and returns their tickets.
func (q *queue) popExpired(now time.Time, all bool) []uint64 {
	var tickets []uint64
	for index := 0; index < len(q.waiting); {
		if !all && now.Before(q.waiting[index].expires) {
			index++
			continue
		}
		tickets = append(tickets, q.removeUnserved(index).Ticket)
	}
	return tickets
}

// remove removes the ticket and reports whether it was queued.
func (q *queue) remove(ticket uint64) bool {
	for index := range q.waiting {
		if q.waiting[index].Ticket == ticket {
			q.removeUnserved(index)
			return true
		}
	}
	return false
}

// removeUnserved removes a request that was not served. Its virtual service time
// (finish minus start) is subtracted from the virtual start and finish times of the
// later requests of its flow, so that the flow isn't charged for it.
func (q *queue) removeUnserved(index int) queuedRequest {
	request := q.removeAt(index)
	key := flow{request.Org, request.Priority}
	serviceTime := request.finish - request.start
	for index := range q.waiting {
		other := &q.waiting[index]
		if (flow{other.Org, other.Priority}) == key && other.finish > request.finish {
			other.start -= serviceTime
			other.finish -= serviceTime
		}
	}
	q.lastFinish[key] -= serviceTime
	return request
}

func (q *queue) removeAt(index int) queuedRequest {
	request := q.waiting[index]
	q.cost -= request.cost
	q.waiting = append(q.waiting[:index], q.waiting[index+1:]...)
	if len(q.waiting) == 0 {
		q.cost = 0
	}
	return request
}

// pruneFlows removes the flows whose last virtual finish time is not after the
// queue's virtual time, as they don't affect the order any more.
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
