package upstream

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/platform/platformtest"
	"persimmonwind.dev/server/upstream/upstreamtest"
)

// Guards against waiting for an answer on one dead connection of the store after the other:
// when all connections have gone silent, only the first call meets one.
func TestCallsAfterStoreConnectionsWentSilent(t *testing.T) {
	Convey("After connections went silent, the call that follows an unanswered one is answered", t, func() {
		const connections = 3
		var mu sync.Mutex
		dead, arrived := map[any]bool{}, 0
		together := make(chan struct{})
		s := upstreamtest.NewRawServer(func(r upstreamtest.Request) bool {
			mu.Lock()
			isDead := dead[r.Conn]
			if arrived++; arrived <= connections {
				dead[r.Conn] = true // From the next request on.
			}
			if arrived == connections {
				close(together)
			}
			mu.Unlock()
			if isDead {
				return true
			}
			<-together // So that each of the first calls has a connection of its own.
			r.Send("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(platformtest.RowsAnswer), platformtest.RowsAnswer)
			return true
		})
		defer s.Stop()
		store := platform.NewStore(s.Address(), StoreTransport(Dial))
		var calls sync.WaitGroup
		for range connections {
			calls.Go(func() { _, _ = store.Feed(context.Background(), "t", 1, 0) })
		}
		calls.Wait()
		_, err := store.Feed(context.Background(), "t", 1, 0)
		So(err, ShouldWrap, context.DeadlineExceeded)
		_, err = store.Feed(context.Background(), "t", 1, 0)
		So(err, ShouldBeNil)
	})
}

// Guards against large answers that stall and keep the place of others until their polls
// have waited for a change and timed out.
func TestLargeAnswersBehindStalledOnes(t *testing.T) {
	Convey("When as many large answers have stalled as are read at a time, the next large one is read", t, func() {
		large := platformtest.LargeRowsAnswer(2 * smallAnswerBytes)
		var arrived atomic.Int32
		stalled := make(chan struct{}, maxLargeStoreAnswers)
		s := upstreamtest.NewRawServer(func(r upstreamtest.Request) bool {
			sent := len(large)
			if arrived.Add(1) <= maxLargeStoreAnswers {
				sent = smallAnswerBytes + 1000
				defer func() { stalled <- struct{}{} }()
			}
			r.Send("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(large), large[:sent])
			return true
		})
		defer s.Stop()
		store := platform.NewStore(s.Address(), StoreTransport(Dial))
		ctx, cancel := context.WithCancel(context.Background())
		var calls sync.WaitGroup
		for range maxLargeStoreAnswers {
			calls.Go(func() { _, _ = store.Feed(ctx, "t", 1, 25*time.Second) })
		}
		defer calls.Wait()
		defer cancel()
		for range maxLargeStoreAnswers {
			<-stalled
		}
		time.Sleep(300 * time.Millisecond) // Of the second after which a stalled answer is given up.
		_, err := store.Feed(ctx, "t", 1, 0)
		So(err, ShouldBeNil)
	})
}
