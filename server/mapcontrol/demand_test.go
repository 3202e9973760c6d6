package mapcontrol

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/hotexperts"
)

// demandStore is a store of one row whose clock runs with the test's.
type demandStore struct {
	mu        sync.Mutex
	row       platform.Row
	era       uint64
	clock     time.Time // Start of the store's clock.
	problem   error     // Returned by every call if not nil.
	delay     time.Duration
	reads     int
	writtenAt []time.Time
}

func newDemandStore() *demandStore { return &demandStore{clock: time.Now().Add(-time.Hour)} }

func (s *demandStore) answer(ctx context.Context) error {
	s.mu.Lock()
	delay, problem := s.delay, s.problem
	s.mu.Unlock()
	select {
	case <-time.After(delay):
		return problem
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *demandStore) Get(ctx context.Context, _, key string) (platform.Rows, error) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	if err := s.answer(ctx); err != nil {
		return platform.Rows{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := platform.Rows{NowMS: time.Since(s.clock).Milliseconds(), Era: s.era}
	if s.row.Key == key {
		rows.Rows = append(rows.Rows, s.row)
	}
	return rows, nil
}

func (s *demandStore) Put(ctx context.Context, row platform.Row) error {
	s.mu.Lock()
	s.writtenAt = append(s.writtenAt, time.Now())
	s.mu.Unlock()
	if err := s.answer(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.row = row
	return nil
}

func (s *demandStore) set(change func(*demandStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *demandStore) writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.writtenAt)
}

// startDemandKeeper runs the keeper of a coordinator of group g until the returned
// function is called. The buffer receives its log.
func startDemandKeeper(t *testing.T, store DemandStore) (k *demandKeeper, log *safeBuffer, stop func()) {
	log = &safeBuffer{}
	logger := logrus.New()
	logger.SetOutput(log)
	k = newDemandKeeper(store, "g", logrus.NewEntry(logger), NewMetrics(prometheus.NewRegistry()))
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { k.run(ctx, func(context.Context) bool { return true }) })
	return k, log, func() { cancel(); running.Wait() }
}

// safeBuffer is a buffer that several goroutines may write to.
type safeBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *safeBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *safeBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.buffer.String(), text)
}

// hotDemand returns a demand of 2 sets of 10 experts of which one takes most choices.
func hotDemand(hot int) hotexperts.SavedDemand {
	gains := make([]int64, 20)
	for i := range gains {
		gains[i] = 10
		if i%10 == hot {
			gains[i] = 1000
		}
	}
	d := hotexperts.NewDemand(2, 10)
	d.Observe(gains, 0)
	return d.Save()
}

func TestLaterCoordinatorReadsTheSavedDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newDemandStore()
		first, _, stop := startDemandKeeper(t, store)
		first.offer(hotDemand(3), 7)
		synctest.Wait()
		stop()
		if store.writes() != 1 || store.reads != 1 {
			t.Fatalf("%d writes and %d reads", store.writes(), store.reads)
		}
		time.Sleep(savedDemandMaxAge - time.Second)
		second, _, stop := startDemandKeeper(t, store)
		synctest.Wait()
		stop()
		saved, ok := second.restored(2, 10)
		if !ok || saved.Moved(hotDemand(3)) > 0 {
			t.Fatalf("read %v, %v", saved, ok)
		}
		if _, ok := second.restored(2, 11); ok {
			t.Error("a demand of another shape is used")
		}
		time.Sleep(2 * time.Second)
		third, log, stop := startDemandKeeper(t, store)
		synctest.Wait()
		stop()
		if _, ok := third.restored(2, 10); ok || log.count("map_demand_not_restored") != 1 {
			t.Error("a demand older than savedDemandMaxAge is used, or its rejection is not logged")
		}
	})
}

func TestWritesOfDemandAreRareAndNeverWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newDemandStore()
		store.delay = 10 * time.Second // The store stands still.
		k, _, stop := startDemandKeeper(t, store)
		defer stop()
		begin := time.Now()
		for plan := range 100 {
			k.offer(hotDemand(plan%10), 1)
		}
		if time.Since(begin) != 0 {
			t.Fatalf("plans waited %v for the store", time.Since(begin))
		}
		time.Sleep(20 * time.Second)
		store.set(func(s *demandStore) { s.delay, s.writtenAt = 0, nil })
		// Seven changes in 2.2 s were seen; each offers another demand.
		for plan := range 100 {
			k.offer(hotDemand(plan%10), 1)
			time.Sleep(300 * time.Millisecond)
		}
		var writtenAt []time.Time
		store.set(func(s *demandStore) { writtenAt = append(writtenAt, s.writtenAt...) })
		for i, at := range writtenAt[1:] {
			if at.Sub(writtenAt[i]) < 2*time.Second {
				t.Fatalf("writes %v apart", at.Sub(writtenAt[i]))
			}
		}
		if count := store.writes(); count < 10 || count > 16 {
			t.Fatalf("%d writes of a demand that moves for 30 s", count)
		}
		time.Sleep(time.Minute)
		calm := store.writes()
		last := hotDemand(9)
		for range 100 {
			k.offer(last, 1)
			time.Sleep(300 * time.Millisecond)
		}
		if store.writes()-calm > 0 {
			t.Fatalf("%d writes of a demand that has not moved", store.writes()-calm)
		}
	})
}

func TestFailedWriteOfDemandIsRetriedAtTheNextPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newDemandStore()
		store.problem = errors.New("connection reset")
		k, log, stop := startDemandKeeper(t, store)
		defer stop()
		time.Sleep(3 * time.Second)
		k.offer(hotDemand(1), 1)
		time.Sleep(30 * time.Second)
		if writes := store.writes(); writes > 1 {
			t.Fatalf("%d writes without a further plan", writes)
		}
		if log.count("map_demand_not_saved") != 1 {
			t.Error("the failed write is not logged once")
		}
		store.set(func(s *demandStore) { s.problem = nil })
		k.offer(hotDemand(1), 1)
		synctest.Wait()
		if store.row.Key != "g" {
			t.Error("the write is not retried at the next plan")
		}
	})
}

func TestUnusableSavedDemand(t *testing.T) {
	for name, value := range map[string]string{
		"no JSON":         "garbage",
		"JSON of another": `{"holder":"a","fence":1}`,
		"damaged":         `{"saved_ms":1,"demand":"AQIKAAAA"}`,
		"huge":            `{"saved_ms":1,"demand":"` + strings.Repeat("AAAA", 20000) + `"}`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newDemandStore()
				store.row = platform.Row{Key: "g", Value: []byte(value)}
				k, log, stop := startDemandKeeper(t, store)
				defer stop()
				synctest.Wait()
				if _, ok := k.restored(2, 10); ok || log.count("map_demand_not_restored") != 1 {
					t.Error("the row is used, or its rejection is not logged")
				}
				k.offer(hotDemand(1), 1) // The next plan replaces the row.
				synctest.Wait()
				if store.writes() != 1 {
					t.Error("the row is not replaced")
				}
			})
		})
	}
}

func TestSavedDemandOfARestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newDemandStore()
		first, _, stop := startDemandKeeper(t, store)
		first.offer(hotDemand(3), 7)
		synctest.Wait()
		stop()
		store.set(func(s *demandStore) { s.era, s.clock = s.era+1, time.Now() })
		second, _, stop := startDemandKeeper(t, store)
		defer stop()
		synctest.Wait()
		if _, ok := second.restored(2, 10); !ok {
			t.Error("a demand whose age is unknown, as the store was restored, is not used")
		}
	})
}

func TestDemandTooLargeForARow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newDemandStore()
		k, log, stop := startDemandKeeper(t, store)
		defer stop()
		gains := make([]int64, 1<<16)
		for i := range gains {
			gains[i] = int64(i)
		}
		d := hotexperts.NewDemand(256, 256)
		d.Observe(gains, 0)
		k.offer(d.Save(), 1)
		synctest.Wait()
		if store.writes() != 0 || log.count("map_demand_not_saved") != 1 {
			t.Error("a row of more than 64 KB is written, or its omission is not logged")
		}
	})
}
