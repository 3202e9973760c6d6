package mapcontrol

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/server/wait"
)

// leaseStore is a store of leases whose clock stands still unless a test moves it.
type leaseStore struct {
	mu           sync.Mutex
	now          time.Duration
	era          uint64
	rows         map[string]platform.Row
	loseAnswer   bool   // The next creation takes effect but returns an error.
	beforeCreate func() // Called before the next creation takes effect.
	silentUntil  time.Time
}

// storeCallTimeout is how long the store's client waits for an answer.
const storeCallTimeout = 2 * time.Second

// answers reports whether a call that arrives now is answered, and otherwise waits for as
// long as the client does.
func (s *leaseStore) answers(ctx context.Context) bool {
	if !time.Now().Before(s.silentUntil) {
		return true
	}
	wait.For(ctx, storeCallTimeout)
	return false
}

func newLeaseStore() *leaseStore { return &leaseStore{rows: map[string]platform.Row{}, now: time.Hour} }

func (s *leaseStore) ListPrefix(ctx context.Context, _, prefix string) (platform.Rows, error) {
	if !s.answers(ctx) {
		return platform.Rows{}, context.DeadlineExceeded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := platform.Rows{NowMS: s.now.Milliseconds(), Era: s.era}
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		if strings.HasPrefix(key, prefix) {
			listed.Rows = append(listed.Rows, s.rows[key])
		}
	}
	return listed, nil
}

func (s *leaseStore) Create(ctx context.Context, row platform.Row) (uint64, error) {
	if !s.answers(ctx) {
		return 0, context.DeadlineExceeded
	}
	s.mu.Lock()
	before := s.beforeCreate
	s.beforeCreate = nil
	s.mu.Unlock()
	if before != nil {
		before()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.rows[row.Key]; exists {
		return s.era, platform.ErrConflict
	}
	s.rows[row.Key] = row
	if s.loseAnswer {
		s.loseAnswer = false
		return 0, errors.New("answer lost")
	}
	return s.era, nil
}

func (s *leaseStore) Remove(_ context.Context, rows []platform.Row) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range rows {
		delete(s.rows, row.Key)
	}
	return nil
}

// acquisitions returns the number of lease rows of each group.
func (s *leaseStore) acquisitions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]int{}
	for key := range s.rows {
		group, _, _ := strings.Cut(key, "/")
		counts[group]++
	}
	return counts
}

// copyRows returns a copy of the rows, which restore brings back in a new era.
func (s *leaseStore) copyRows() map[string]platform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rows)
}

func (s *leaseStore) restore(rows map[string]platform.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = maps.Clone(rows)
	s.era++
}

func TestLease(t *testing.T) {
	ctx := context.Background()
	acquire := func(store Store, instance string, maxSeenFence uint64) (uint64, error) {
		fence, _, err := acquireLease(ctx, store, "g", instance, maxSeenFence)
		return fence, err
	}
	Convey("Each acquired lease has a higher fencing number", t, func() {
		store := newLeaseStore()
		last := uint64(0)
		for range 5 {
			fence, err := acquire(store, "a", 0)
			So(err, ShouldBeNil)
			So(fence, ShouldBeGreaterThan, last)
			last = fence
		}
	})
	Convey("The fencing number exceeds the highest one seen, and a write whose answer is lost uses up a number", t, func() {
		store := newLeaseStore()
		store.loseAnswer = true
		_, err := acquire(store, "a", 7)
		So(err, ShouldNotBeNil)
		store.now += 2 * maxFirstCallDelay
		fence, err := acquire(store, "b", 0)
		So(err, ShouldBeNil)
		So(fence, ShouldEqual, 9)
	})
	Convey("A lease that another agent acquired recently is not acquired, unless the store's clock was reset", t, func() {
		store := newLeaseStore()
		first, err := acquire(store, "a", 0)
		So(err, ShouldBeNil)
		store.now += maxFirstCallDelay / 2
		_, err = acquire(store, "b", 0)
		So(errors.Is(err, errLeaseLost), ShouldBeTrue)
		_, err = acquire(store, "a", 0) // The holder has restarted.
		So(err, ShouldBeNil)
		store.now += 2 * maxFirstCallDelay
		second, err := acquire(store, "b", 0)
		So(err, ShouldBeNil)
		So(second, ShouldBeGreaterThan, first)
		store.now = time.Minute // The store has restarted.
		_, err = acquire(store, "c", 0)
		So(err, ShouldBeNil)
	})
	Convey("Agents that race never get the same fencing number", t, func() {
		store := newLeaseStore()
		var wg sync.WaitGroup
		fences := make(chan uint64, 20)
		for range 20 {
			wg.Go(func() {
				if fence, err := acquire(store, "a", 0); err == nil {
					fences <- fence
				}
			})
		}
		wg.Wait()
		close(fences)
		acquiredFences := map[uint64]bool{}
		for fence := range fences {
			So(acquiredFences[fence], ShouldBeFalse)
			acquiredFences[fence] = true
		}
	})
	malformed := map[string]string{
		"no value": "", "no JSON": "{", "another type": `{"fence":"7"}`, "a large number": `{"fence":1e30}`, "another row's number": `{"holder":"x","fence":18446744073709551615,"taken_ms":1}`,
		"a negative time": `{"holder":"x","fence":5,"taken_ms":-9223372036854775808}`, "a time out of range": `{"holder":"x","fence":5,"taken_ms":1e300}`,
		"a deep value": strings.Repeat("[", 50_000),
	}
	for name, value := range malformed {
		Convey("A row with "+name+" keeps nobody from the lease, and its number is not used again", t, func() {
			for _, key := range []string{leaseKey("g", 5), "g/odd", "g/ffffffffffffffff"} {
				store := newLeaseStore()
				first, err := acquire(store, "a", 0)
				So(err, ShouldBeNil)
				store.rows[key] = platform.Row{Key: key, Value: []byte(value)}
				store.now += 2 * maxFirstCallDelay
				second, err := acquire(store, "b", 0)
				So(err, ShouldBeNil)
				So(second, ShouldBeGreaterThan, first)
				if key == leaseKey("g", 5) {
					So(second, ShouldEqual, 6)
				}
				store.now += maxFirstCallDelay / 2
				_, err = acquire(store, "c", 0)
				So(errors.Is(err, errLeaseLost), ShouldBeTrue)
				store.now += 2 * maxFirstCallDelay
				third, err := acquire(store, "c", 0)
				So(err, ShouldBeNil)
				So(third, ShouldEqual, second+1)
			}
		})
	}
	Convey("Rows of old acquisitions can be removed, but not those whose numbers an agent may still try", t, func() {
		store := newLeaseStore()
		_, err := acquire(store, "a", 0)
		So(err, ShouldBeNil)
		store.now += 2 * obsoleteLeaseAge
		second, obsolete, err := acquireLease(ctx, store, "g", "a", 0)
		So(err, ShouldBeNil)
		So(obsolete, ShouldHaveLength, 1)
		So(store.Remove(ctx, obsolete), ShouldBeNil)
		third, obsolete, err := acquireLease(ctx, store, "g", "a", 0)
		So(err, ShouldBeNil)
		So(obsolete, ShouldBeEmpty)
		So(third, ShouldBeGreaterThan, second)
	})
}

func TestLeaseOfARestoredStore(t *testing.T) {
	ctx := context.Background()
	Convey("After a restore that lost the latest acquisition, an agent that knows nothing of it gets a higher number", t, func() {
		store := newLeaseStore()
		older := store.copyRows()
		lost, _, err := acquireLease(ctx, store, "g", "a", 0)
		So(err, ShouldBeNil)
		store.restore(older)
		next, _, err := acquireLease(ctx, store, "g", "b", 0)
		So(err, ShouldBeNil)
		So(next, ShouldBeGreaterThan, lost)
	})
	Convey("An agent whose write is carried out after a restore does not have the lease", t, func() {
		store := newLeaseStore()
		older := store.copyRows()
		store.beforeCreate = func() { store.restore(older) }
		_, _, err := acquireLease(ctx, store, "g", "a", 0)
		So(errors.Is(err, errLeaseLost), ShouldBeTrue)
	})
	Convey("Whatever is restored, written late or lost, no fencing number is acquired twice", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			store := newLeaseStore()
			copies := []map[string]platform.Row{store.copyRows()}
			holders := map[uint64]string{}
			var lateWrites []platform.Row
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				store.now += rapid.SampledFrom([]time.Duration{0, time.Second, 2 * obsoleteLeaseAge}).Draw(t, "elapsed")
				switch rapid.IntRange(0, 4).Draw(t, "step") {
				case 0:
					copies = append(copies, store.copyRows())
				case 1:
					store.restore(rapid.SampledFrom(copies).Draw(t, "copy"))
				case 2:
					if len(lateWrites) > 0 {
						_, _ = store.Create(ctx, lateWrites[0])
						lateWrites = lateWrites[1:]
					}
				default:
					instance := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "instance")
					interrupt := rapid.IntRange(0, 5).Draw(t, "interrupt")
					store.beforeCreate = func() {
						if interrupt == 0 {
							store.restore(rapid.SampledFrom(copies).Draw(t, "copy"))
						}
					}
					store.loseAnswer = interrupt == 1
					fence, obsolete, err := acquireLease(ctx, store, "g", instance, 0)
					store.loseAnswer, store.beforeCreate = false, nil
					if err != nil {
						value, _ := json.Marshal(leaseRow{Holder: instance, Fence: 1})
						lateWrites = append(lateWrites, platform.Row{Key: leaseKey("g", 1), Value: value})
						continue
					}
					if other, taken := holders[fence]; taken {
						t.Fatalf("%s acquired number %d, which %s has had", instance, fence, other)
					}
					holders[fence] = instance
					_ = store.Remove(ctx, obsolete)
				}
			}
		})
	})
}
