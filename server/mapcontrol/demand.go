package mapcontrol

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/hotexperts"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/wait"
)

// demandTable has a row for each group with the latest forecast of its expert demand, from
// which a coordinator plans the first map of an epoch.
const demandTable = "map_demand"

const (
	// savedDemandMaxAge is the age from which a saved demand is not used: it says little
	// about the demand now.
	savedDemandMaxAge = 10 * time.Minute
	// maxDemandRowBytes is the largest row that the store accepts.
	maxDemandRowBytes = 64 << 10
	// minDemandWriteInterval is the shortest time between two writes: the store charges
	// for each.
	minDemandWriteInterval = 2 * time.Second
	// notableDemandMove is the share of choices that must have moved to other experts for
	// the demand to be written again. Changes in the mix of requests in flight move about
	// a tenth of them.
	notableDemandMove = 0.15
	// demandCallTimeout bounds a call of the demand store, which answers within 300 ms
	// when it is slow.
	demandCallTimeout = time.Second
	// demandReads is how often a read is tried, demandRetryInterval apart.
	demandReads         = 3
	demandRetryInterval = 500 * time.Millisecond
)

// DemandStore is the part of the platform's store in which demands are saved.
type DemandStore interface {
	Get(ctx context.Context, table, key string) (platform.Rows, error)
	Put(ctx context.Context, row platform.Row) error
}

// demandRow is the value of a group's row. The encoded demand has its shape.
type demandRow struct {
	Epoch   int64  `json:"epoch"`    // Epoch of the group in which the demand was observed.
	Era     uint64 `json:"era"`      // Era of the store whose clock SavedMS is of.
	SavedMS int64  `json:"saved_ms"` // Store's time of the write, as extrapolated from the latest read.
	Demand  []byte `json:"demand"`   // Encoded by hotexperts.SavedDemand.Encode.
}

// offeredDemand is a demand that the planner has planned from.
type offeredDemand struct {
	demand hotexperts.SavedDemand
	epoch  int64
}

// demandKeeper saves the forecast of one group's demand in the store and reads the one
// that an earlier coordinator has saved. All calls are made in the goroutine of run.
type demandKeeper struct {
	store   DemandStore
	group   string
	log     *logrus.Entry
	metrics *Metrics
	offers  chan offeredDemand // The latest offer that run has not taken.

	mu    sync.Mutex
	saved hotexperts.SavedDemand // Demand read from the store; empty if there is none that can be used.

	era       uint64                 // Era of the store in the latest read.
	readMS    int64                  // Store's time of the latest read.
	readAt    time.Time              // When the latest read returned; zero if none has.
	written   hotexperts.SavedDemand // The store's demand, as far as known.
	writtenAt time.Time              // When written was written, or as if, if it was read.
	triedAt   time.Time              // When a write was last tried.
}

func newDemandKeeper(store DemandStore, group string, log *logrus.Entry, metrics *Metrics) *demandKeeper {
	return &demandKeeper{store: store, group: group, log: log, metrics: metrics, offers: make(chan offeredDemand, 1)}
}

// offer passes the demand of a plan on to be saved. It never waits: an earlier offer that
// has not been taken is replaced. Only one goroutine may call it.
func (k *demandKeeper) offer(demand hotexperts.SavedDemand, epoch int64) {
	select {
	case <-k.offers:
	default:
	}
	select {
	case k.offers <- offeredDemand{demand, epoch}:
	default:
	}
}

// restored returns the demand that an earlier coordinator has saved. ok is false if it has
// not been read, or can't be used for a group of this shape.
func (k *demandKeeper) restored(sets, experts int) (demand hotexperts.SavedDemand, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.saved, !k.saved.IsEmpty() && k.saved.Sets == sets && k.saved.Experts == experts
}

// run reads the saved demand and saves offered ones until ctx ends. It reads nothing if
// mustRead, which may wait until that is known, returns false.
func (k *demandKeeper) run(ctx context.Context, mustRead func(context.Context) bool) {
	if k.store == nil {
		return
	}
	if mustRead(ctx) {
		k.readWithRetries(ctx)
	}
	var pending *offeredDemand
	for {
		var due <-chan time.Time
		if pending != nil {
			due = time.After(minDemandWriteInterval - time.Since(k.triedAt))
		}
		select {
		case offered := <-k.offers:
			pending = nil
			if k.isNotable(offered.demand) {
				pending = &offered
			}
		case <-due:
			k.write(ctx, *pending)
			pending = nil
		case <-ctx.Done():
			return
		}
	}
}

// isNotable reports whether the store's demand is outdated by the offered one.
func (k *demandKeeper) isNotable(offered hotexperts.SavedDemand) bool {
	// A demand that stays as it is would become too old to be used.
	return offered.Moved(k.written) > notableDemandMove || time.Since(k.writtenAt) > savedDemandMaxAge/2
}

// readWithRetries reads the saved demand, and again if the store does not answer.
func (k *demandKeeper) readWithRetries(ctx context.Context) {
	for try := range demandReads {
		if try > 0 {
			wait.For(ctx, demandRetryInterval)
		}
		err := k.read(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		k.logNotRestored("failed", err)
	}
}

// read reads the saved demand and the store's clock. It returns an error only if the store
// did not answer.
func (k *demandKeeper) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demandCallTimeout)
	defer cancel()
	rows, err := k.store.Get(ctx, demandTable, k.group)
	if err != nil {
		return fmt.Errorf("read saved demand: %w", err)
	}
	k.era, k.readMS, k.readAt = rows.Era, rows.NowMS, time.Now()
	if len(rows.Rows) == 0 {
		k.metrics.demandReads.WithLabelValues("none").Inc()
		return nil
	}
	demand, age, err := decodeDemandRow(rows.Rows[0].Value, rows.Era, rows.NowMS)
	if err != nil {
		k.logNotRestored("invalid", err)
		return nil
	}
	if age > savedDemandMaxAge {
		k.logNotRestored("too_old", fmt.Errorf("saved %v ago", age))
		return nil
	}
	k.metrics.demandReads.WithLabelValues("read").Inc()
	k.written, k.writtenAt = demand, time.Now().Add(-age)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.saved = demand
	return nil
}

// errDemandRowInvalid means that a row of demandTable has no usable content.
var errDemandRowInvalid = errors.New("invalid row of saved demand")

// decodeDemandRow decodes a row that was read in the era at the store's time nowMS. The
// age is 0 if it is unknown, because the store's clock has been reset or the store has
// come back from an older copy: a demand that no longer fits costs one change, which takes
// as long as waiting for counts.
func decodeDemandRow(value []byte, era uint64, nowMS int64) (demand hotexperts.SavedDemand, age time.Duration, err error) {
	if len(value) > maxDemandRowBytes {
		return demand, 0, fmt.Errorf("%w: %d bytes", errDemandRowInvalid, len(value))
	}
	var row demandRow
	if err := json.Unmarshal(value, &row); err != nil {
		return demand, 0, fmt.Errorf("%w: %w", errDemandRowInvalid, err)
	}
	if demand, err = hotexperts.DecodeDemand(row.Demand); err != nil {
		return demand, 0, fmt.Errorf("%w: %w", errDemandRowInvalid, err)
	}
	if row.Era == era && row.SavedMS <= nowMS {
		age = time.Duration(nowMS-row.SavedMS) * time.Millisecond
	}
	return demand, age, nil
}

// write saves a demand. A failed write is not repeated: the next plan offers its demand.
func (k *demandKeeper) write(ctx context.Context, offered offeredDemand) {
	k.triedAt = time.Now()
	if k.readAt.IsZero() { // The store's time is unknown.
		if err := k.read(ctx); err != nil {
			k.logNotSaved("failed", err)
			return
		}
	}
	row := demandRow{
		Epoch: offered.epoch, Era: k.era, Demand: offered.demand.Encode(),
		SavedMS: k.readMS + time.Since(k.readAt).Milliseconds(),
	}
	value, err := json.Marshal(row)
	if err == nil && len(value) > maxDemandRowBytes {
		k.logNotSaved("too_large", fmt.Errorf("%d bytes", len(value)))
		k.written, k.writtenAt = offered.demand, k.triedAt // It is not logged for each plan.
		return
	}
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, demandCallTimeout)
		defer cancel()
		err = k.store.Put(ctx, platform.Row{Table: demandTable, Key: k.group, Value: value})
	}
	if err != nil {
		k.logNotSaved("failed", err)
		return
	}
	k.written, k.writtenAt = offered.demand, k.triedAt
	k.metrics.demandWrites.WithLabelValues("written").Inc()
}

func (k *demandKeeper) logNotSaved(outcome string, err error) {
	k.metrics.demandWrites.WithLabelValues(outcome).Inc()
	logevent.Write(k.log, logevent.DemandNotSaved, logrus.Fields{"group": k.group, "outcome": outcome, "error": err.Error()})
}

func (k *demandKeeper) logNotRestored(outcome string, err error) {
	k.metrics.demandReads.WithLabelValues(outcome).Inc()
	logevent.Write(k.log, logevent.DemandNotRestored, logrus.Fields{"group": k.group, "outcome": outcome, "error": err.Error()})
}
