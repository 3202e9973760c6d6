package mapcontrol

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/election"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/rpc"
	"persimmonwind.dev/server/wait"
)

const methodVote = receiverName + ".Vote"

const (
	// topologyTimeout is how long a candidate waits for the list of servers and the
	// configuration. It follows them until a coordinator calls, so that only its first
	// candidacy has to wait for them.
	topologyTimeout = 200 * time.Millisecond
	// topologyCheckInterval is how often a waiting candidate checks for them.
	topologyCheckInterval = 5 * time.Millisecond
	// voteCallTimeout limits the time of one call for a vote. An agent that answers does so
	// within some ms; one on a dead machine does not answer at all.
	voteCallTimeout = 100 * time.Millisecond
	// voteTimeLimit is how long votes for one number are awaited. With 130 ms, candidates
	// in a group of 129 ranks on a busy machine had to ask again under another number.
	voteTimeLimit = 250 * time.Millisecond
	// electionTimeout limits the time of a candidacy after the wait for the topology. With
	// that wait it is below leaseRetryInterval, so that the lease is tried as often as
	// without a candidacy.
	electionTimeout = 280 * time.Millisecond
	// maxNumbersPerCandidacy is the number of numbers that a candidacy may try: one that
	// agents have already seen, the next one, and one after votes were split or lost.
	maxNumbersPerCandidacy = 3
	// maxSplitVoteDelay limits the random delay after a split vote, so that two candidates
	// don't split the next one as well. A vote of 129 ranks takes some tens of ms.
	maxSplitVoteDelay = 60 * time.Millisecond
	// maxVoteCalls is the number of agents that are asked at the same time. Each call may
	// open a connection, and those of agents on dead machines last for voteCallTimeout: a
	// data centre of 21 dead machines leaves eleven others.
	maxVoteCalls = 32
	// maxCandidacyDelay limits the delay after a defeat, which doubles with each one in an
	// epoch. If most agents have restarted in the epoch, none can be elected, and all 129
	// agents of a group ask all others: every 0.5 s, that would be 54 kB/s at each.
	maxCandidacyDelay = 8 * time.Second
	// disabledRecheckInterval is how long an agent whose service's routes don't compete
	// does not read the configuration again to become a candidate.
	disabledRecheckInterval = time.Minute
)

// VoteArgs are the arguments of Rank.Vote.
type VoteArgs struct {
	Group     string
	Epoch     int64
	Number    uint64 // The fencing number that the candidate will have in the epoch.
	Candidate string // Name of the candidate's instance.
}

// VoteReply is the reply of Rank.Vote.
type VoteReply struct {
	Granted bool
	Reason  string // Why the vote was refused.
	Rank    int    // The voter's rank.
	Size    int    // Number of ranks in the group, as the voter's engine reports.
	Highest uint64 // Highest number that the agent has seen in the group.
}

// electionMetrics holds the metrics of elections. The zero value counts nothing.
type electionMetrics struct {
	votes       *prometheus.CounterVec // Decisions on requests for this agent's vote, by outcome.
	candidacies *prometheus.CounterVec // Candidacies of this agent, by outcome.
}

func newElectionMetrics(registry *prometheus.Registry) electionMetrics {
	m := electionMetrics{
		votes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "persimmonwind", Name: "map_votes_total",
			Help: "Requests of candidates for this agent's vote, by outcome.",
		}, []string{"outcome"}),
		candidacies: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "persimmonwind", Name: "map_candidacies_total",
			Help: "Candidacies of this agent for provisional coordinator, by outcome.",
		}, []string{"outcome"}),
	}
	registry.MustRegister(m.votes, m.candidacies)
	return m
}

func (m electionMetrics) countVote(outcome string) {
	if m.votes != nil {
		m.votes.WithLabelValues(outcome).Inc()
	}
}

func (m electionMetrics) countCandidacy(outcome string) {
	if m.candidacies != nil {
		m.candidacies.WithLabelValues(outcome).Inc()
	}
}

// CountElections counts a vote and a candidacy, so that their metrics are listed.
func (m *Metrics) CountElections(outcome string) {
	m.elections.countVote(outcome)
	m.elections.countCandidacy(outcome)
}

// voterReport returns the part of an engine's report that elections use.
func voterReport(state topology.RankState) election.Report {
	return election.Report{Epoch: state.Epoch, Size: state.Size, Open: state.Open}
}

// observeEpoch records a report of the engine for later votes. Votes are remembered by
// group; a report without a group says nothing about an epoch.
func (r *Rank) observeEpoch(state topology.RankState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observeEpochLocked(state)
}

func (r *Rank) observeEpochLocked(state topology.RankState) {
	if state.Group == "" {
		return
	}
	report := voterReport(state)
	if state.Group != r.voterGroup {
		if r.voterGroup != "" {
			// The votes of the group that the rank may have left and joined again are
			// forgotten, so the agent does not vote in the epoch that it finds.
			report.Open, report.Size = true, max(1, report.Size)
		}
		r.voterGroup, r.voter, r.votedFor = state.Group, election.Voter{}, ""
	}
	r.voter = r.voter.Observe(report)
}

// hasObservedEpoch reports whether the agent has read a report of its engine.
func (r *Rank) hasObservedEpoch() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.voter.HasObserved()
}

// Vote decides whether the agent votes for a candidate. The agent's fencing number rises
// to the number of its vote, so that it refuses the calls of earlier coordinators.
func (r *Rank) Vote(args VoteArgs, reply *VoteReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), voteCallTimeout)
	defer cancel()
	state, err := r.engine.Report(ctx)
	if err != nil {
		return fmt.Errorf("read report: %w", err)
	}
	if state.Open {
		r.observeGroup(state)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observeEpochLocked(state)
	if args.Group != state.Group || args.Group != r.group || args.Group != r.voterGroup {
		return fmt.Errorf("%w: %q, the candidate's is %q", errForeignGroup, state.Group, args.Group)
	}
	r.voter = r.voter.ObserveNumber(r.fence)
	var reason election.Reason
	r.voter, reason = r.voter.Vote(args.Epoch, args.Number, voterReport(state), coordinatorTimeout, time.Now())
	r.fence = r.voter.Highest()
	if reason == election.Granted {
		r.votedFor = args.Candidate
	}
	r.elections.countVote(reason.String())
	*reply = VoteReply{Granted: reason == election.Granted, Reason: reason.String(), Rank: state.Rank, Size: state.Size, Highest: r.fence}
	return nil
}

// recentlyVotedForAnother reports whether the agent has voted for another candidate so
// recently that it may not have called this agent yet.
func (r *Rank) recentlyVotedForAnother(instance string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.votedFor != "" && r.votedFor != instance && time.Since(r.voter.GrantedAt()) < maxFirstCallDelay
}

// isStoreUnreachable reports whether an attempt to acquire the lease failed because the
// store could not be reached, and not because of what it answered.
func isStoreUnreachable(err error) bool {
	for _, answer := range []error{errLeaseLost, platform.ErrConflict, platform.ErrRefused, platform.ErrEraChanged, platform.ErrListTooLong, context.Canceled} {
		if errors.Is(err, answer) {
			return false
		}
	}
	var syntax *json.SyntaxError
	var mistyped *json.UnmarshalTypeError
	return !errors.As(err, &syntax) && !errors.As(err, &mistyped)
}

// candidate is the part of an agent's state that its candidacies use. Only the goroutine
// of Agent.Run uses it.
type candidate struct {
	disabledAt time.Time            // When the configuration last showed that the service's routes don't compete.
	foreignAt  map[string]time.Time // When agents last said that their rank belongs to another group, by address.
	isRank     map[string]bool      // Agents that have answered for this group, by address.
	lastNumber uint64               // The latest number under which the agent asked for votes; it does not use a number twice.
	epoch      int64                // Epoch of the latest candidacy.
	defeats    int                  // Defeats in epoch since a coordinator last called.
	notBefore  time.Time            // When the agent may next be a candidate in epoch.
}

// recordDefeat delays the next candidacy in the epoch.
func (c *candidate) recordDefeat(epoch int64) {
	if epoch != c.epoch {
		c.epoch, c.defeats = epoch, 0
	}
	c.notBefore = time.Now().Add(candidacyDelay(c.defeats))
	c.defeats++
}

// candidacyDelay returns the delay after a defeat that follows the given number of others:
// none after the first one, as an attempt to acquire the lease precedes each candidacy.
func candidacyDelay(defeats int) time.Duration {
	if defeats == 0 {
		return 0
	}
	delay := maxCandidacyDelay
	if defeats < 5 {
		delay = min(delay, leaseRetryInterval<<defeats)
	}
	return delay*3/4 + rand.N(delay/4)
}

// standForElection makes the agent a candidate for provisional coordinator of its group,
// after an attempt to acquire the lease has failed with leaseErr, and coordinates the group
// if it is elected. It does so only if the store could not be reached and requests of the
// service compete.
func (a *Agent) standForElection(ctx context.Context, found topology.RankState, leaseErr error) {
	if a.ClassAware == nil || !isStoreUnreachable(leaseErr) || a.rank.recentlyVotedForAnother(a.InstanceName) ||
		time.Since(a.candidate.disabledAt) < disabledRecheckInterval && !a.candidate.disabledAt.IsZero() {
		return
	}
	if found.Epoch == a.candidate.epoch && time.Now().Before(a.candidate.notBefore) {
		return
	}
	a.startFollowing(ctx)
	members := a.awaitMembers(ctx)
	if len(members) == 0 {
		return
	}
	// The attempt to acquire the lease may have taken seconds.
	state, err := a.Engine.Report(ctx)
	if err != nil || !state.Open || state.Group != found.Group {
		return
	}
	a.rank.observeEpoch(state)
	if silence, _ := a.rank.sinceLastCall(); silence < silenceLimit(state) {
		return
	}
	startedAt := time.Now()
	result := a.collectVotes(ctx, state, members)
	fields := logrus.Fields{"group": state.Group, "epoch": state.Epoch, "fence": result.Number, "votes": result.Votes(), "ranks": state.Size, "after_ms": time.Since(startedAt).Milliseconds()}
	if result.Phase != election.Elected {
		a.candidate.recordDefeat(state.Epoch)
		a.Metrics.elections.countCandidacy("defeated")
		logevent.Write(a.Log, logevent.CandidateDefeated, fields)
		return
	}
	a.candidate.defeats = 0
	a.Metrics.elections.countCandidacy("elected")
	logevent.Write(a.Log, logevent.CandidateElected, fields)
	a.coordinateProvisionally(ctx, state, result.Number)
}

// awaitMembers waits for the list of servers and the configuration. It returns nil if they
// don't arrive in time or the service's routes don't compete.
func (a *Agent) awaitMembers(ctx context.Context) []Member {
	ctx, cancel := context.WithTimeout(ctx, topologyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		members, isConfigured := a.Members(), a.EngineModel() != nil
		switch {
		case isConfigured && !a.ClassAware():
			a.candidate.disabledAt = time.Now()
			a.endFollowing()
			return nil
		case isConfigured && len(members) > 0:
			return members
		}
		wait.For(ctx, topologyCheckInterval)
	}
	return nil
}

// collectVotes asks the members for their votes until the candidacy is decided.
func (a *Agent) collectVotes(ctx context.Context, state topology.RankState, members []Member) election.Candidate {
	ctx, cancel := context.WithTimeout(ctx, electionTimeout)
	defer cancel()
	_, highest := a.rank.sinceLastCall()
	highest = max(highest, a.candidate.lastNumber)
	c := election.NewCandidate(state.Epoch, state.Size, highest, voteTimeLimit, maxNumbersPerCandidacy, time.Now())
	for c.Phase == election.Asking && ctx.Err() == nil {
		args := VoteArgs{Group: state.Group, Epoch: state.Epoch, Number: c.Number, Candidate: a.InstanceName}
		a.candidate.lastNumber = c.Number
		var own VoteReply
		if err := a.rank.Vote(args, &own); err == nil {
			c = c.ObserveReply(own.forNumber(args.Number), time.Now())
		}
		if c.Number != args.Number {
			continue
		}
		c = a.askMembers(ctx, c, args, members)
		if c.Phase == election.Asking {
			wait.For(ctx, rand.N(maxSplitVoteDelay))
		}
	}
	if c.Phase == election.Asking {
		c = c.Withdraw()
	}
	return c
}

func (r VoteReply) forNumber(number uint64) election.Reply {
	return election.Reply{Number: number, Rank: r.Rank, Size: r.Size, Granted: r.Granted, Highest: r.Highest}
}

// voteResult is the result of one call of Rank.Vote.
type voteResult struct {
	member Member
	reply  VoteReply
	err    error
}

// askMembers asks the members for their votes for one number. It returns when all have
// answered, the number is given up or the time limit is over. After a majority has voted it
// waits for other answers until calls made at the start have timed out, as an agent that
// does not know elections ends the candidacy: it may acquire a lease with an odd number.
func (a *Agent) askMembers(ctx context.Context, c election.Candidate, args VoteArgs, members []Member) election.Candidate {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	results := a.callMembers(ctx, args, a.candidate.order(members))
	firstCallsEnd := time.After(voteCallTimeout)
	isLate := false
	for c.Phase != election.Defeated && c.Number == args.Number && !(isLate && c.Phase == election.Elected) {
		select {
		case <-firstCallsEnd:
			isLate = true
		case result, ok := <-results:
			if !ok {
				return c.ObserveAllReplies(args.Number, time.Now())
			}
			c = a.observeVote(c, args, result)
		case <-ctx.Done():
			return c.Tick(time.Now())
		}
	}
	return c
}

// observeVote counts the result of a call.
func (a *Agent) observeVote(c election.Candidate, args VoteArgs, result voteResult) election.Candidate {
	agent := result.member.Agent
	switch {
	case result.err == nil:
		a.candidate.isRank[agent] = true
		delete(a.candidate.foreignAt, agent)
		return c.ObserveReply(result.reply.forNumber(args.Number), time.Now())
	case strings.Contains(result.err.Error(), errForeignGroup.Error()):
		a.candidate.foreignAt[agent] = time.Now()
		delete(a.candidate.isRank, agent)
		a.peers.Drop(agent) // It won't be called again soon.
	case isUnknownMethod(result.err):
		logevent.Write(a.Log, logevent.VoterOutdated, logrus.Fields{"group": args.Group, "agent": agent})
		return c.Withdraw()
	case errors.Is(result.err, rpc.ErrUnreachable):
		return c.ObserveLostReply(args.Number)
	}
	return c
}

// isUnknownMethod reports whether the agent runs an earlier version, which does not know
// the method. The text is that of net/rpc.
func isUnknownMethod(err error) bool { return strings.Contains(err.Error(), "can't find method") }

// order returns the members in the order in which they are asked: first the known ranks of
// the group, then members of unknown groups in random order, then those that recently
// belonged to other groups.
func (c *candidate) order(members []Member) []Member {
	if c.isRank == nil {
		c.isRank, c.foreignAt = map[string]bool{}, map[string]time.Time{}
	}
	class := func(member Member) int {
		switch {
		case c.isRank[member.Agent]:
			return 0
		case time.Since(c.foreignAt[member.Agent]) < foreignMemberTTL:
			return 2
		default:
			return 1
		}
	}
	ordered := slices.Clone(members)
	rand.Shuffle(len(ordered), func(i, j int) { ordered[i], ordered[j] = ordered[j], ordered[i] })
	slices.SortStableFunc(ordered, func(a, b Member) int { return class(a) - class(b) })
	return ordered
}

// callMembers asks the members for their votes, some at a time and in their order. The
// returned channel is closed when all calls have returned. Calls end with ctx.
func (a *Agent) callMembers(ctx context.Context, args VoteArgs, members []Member) <-chan voteResult {
	results := make(chan voteResult, len(members)) // Calls never wait for the candidate, which may have stopped reading.
	next := make(chan Member, len(members))
	for _, member := range members {
		next <- member
	}
	close(next)
	var calls sync.WaitGroup
	for range min(maxVoteCalls, len(members)) {
		calls.Go(func() {
			for member := range next {
				if ctx.Err() != nil {
					return
				}
				results <- a.callForVote(ctx, member, args)
			}
		})
	}
	go func() {
		calls.Wait()
		close(results)
	}()
	return results
}

// callForVote asks a member for its vote.
func (a *Agent) callForVote(ctx context.Context, member Member, args VoteArgs) voteResult {
	ctx, cancel := context.WithTimeout(ctx, voteCallTimeout)
	defer cancel()
	var reply VoteReply
	err := callAgent(ctx, a.peers, member.Agent, methodVote, args, &reply)
	return voteResult{member: member, reply: reply, err: err}
}

// acquiredLease is a lease that was acquired while the agent was provisional coordinator.
type acquiredLease struct {
	fence    uint64
	obsolete []platform.Row
	state    topology.RankState
}

// coordinateProvisionally coordinates the group in the epoch in which the agent was
// elected. It tries to acquire the lease meanwhile and, if it does, continues as its
// holder, with a higher number.
func (a *Agent) coordinateProvisionally(ctx context.Context, elected topology.RankState, number uint64) {
	provisionalCtx, stop := context.WithCancel(ctx)
	defer stop()
	acquired := make(chan *acquiredLease, 1)
	go func() {
		acquired <- a.acquireMeanwhile(provisionalCtx, elected)
		stop()
	}()
	c := a.newCoordinator(elected.Group, number)
	c.electedIn = &elected.Epoch
	c.run(provisionalCtx, elected.Rank)
	stop()
	lease := <-acquired
	logevent.Write(a.Log, logevent.ProvisionalEnded, logrus.Fields{
		"group": elected.Group, "epoch": elected.Epoch, "fence": number, "lease": lease != nil,
	})
	if lease != nil && ctx.Err() == nil {
		a.coordinateWithLease(ctx, lease.state, 0, lease.fence, lease.obsolete)
	}
}

// acquireMeanwhile tries to acquire the lease until it succeeds, which it returns, or until
// ctx or the epoch has ended.
func (a *Agent) acquireMeanwhile(ctx context.Context, elected topology.RankState) *acquiredLease {
	for {
		wait.For(ctx, leaseRetryInterval)
		if ctx.Err() != nil {
			return nil
		}
		state, err := a.Engine.Report(ctx)
		if err != nil {
			continue
		}
		a.rank.observeEpoch(state)
		if state.Group != elected.Group || state.Epoch != elected.Epoch || !state.Open {
			return nil
		}
		_, highest := a.rank.sinceLastCall()
		if fence, obsolete, err := a.acquireFence(ctx, state.Group, highest); err == nil {
			return &acquiredLease{fence: fence, obsolete: obsolete, state: state}
		}
	}
}
