// Package loop runs a reducer in one goroutine. Any goroutine may post events,
// effects are passed to an executor, and the published view of the state is read
// without locks.
package loop

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"persimmonwind.dev/policy/reduce"
)

// queueCapacity is the number of events that can wait before Post blocks.
const queueCapacity = 4096

// Step is a reducer: it applies an input to the state and returns the new state and
// the effects to execute. The caller must not use the state that it passed in
// again.
type Step[S any] func(state S, input reduce.Input) (S, []reduce.Effect)

// Loop owns the control state S and publishes the view V of it.
type Loop[S, V any] struct {
	step          Step[S]
	view          func(S) V
	execute       func(reduce.Effect)
	record        func(reduce.Input)
	queue         chan reduce.Event
	done          chan struct{}
	publishedView atomic.Pointer[V]
}

// New returns a loop. view derives the view to publish from a state. execute is
// called in the goroutine of Run and must not block. record, if not nil, is called
// with every input before its step.
func New[S, V any](step Step[S], view func(S) V, execute func(reduce.Effect), record func(reduce.Input)) *Loop[S, V] {
	return &Loop[S, V]{
		step: step, view: view, execute: execute, record: record,
		queue: make(chan reduce.Event, queueCapacity),
		done:  make(chan struct{}),
	}
}

// Post queues an event for the reducer and blocks while the queue is full. After
// the loop has ended it does nothing.
func (l *Loop[S, V]) Post(event reduce.Event) {
	select {
	case l.queue <- event:
	case <-l.done:
	}
}

// View returns the latest published view, or nil before Run.
func (l *Loop[S, V]) View() *V { return l.publishedView.Load() }

// Done returns a channel that is closed when the loop has ended.
func (l *Loop[S, V]) Done() <-chan struct{} { return l.done }

// Run reduces events until ctx ends, starting with state, and adds a tick event
// every interval.
func (l *Loop[S, V]) Run(ctx context.Context, state S, interval time.Duration) error {
	defer close(l.done)
	l.publish(state)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		var event reduce.Event
		select {
		case event = <-l.queue:
		case <-ticker.C:
			event = reduce.Tick{}
		case <-ctx.Done():
			return nil
		}
		state = l.reduce(state, event)
	}
}

func (l *Loop[S, V]) reduce(state S, event reduce.Event) S {
	input := reduce.Input{Now: time.Now(), Random: rand.Uint64(), Event: event}
	if l.record != nil {
		l.record(input)
	}
	state, effects := l.step(state, input)
	l.publish(state)
	for _, effect := range effects {
		l.execute(effect)
	}
	return state
}

func (l *Loop[S, V]) publish(state S) {
	view := l.view(state)
	l.publishedView.Store(&view)
}
