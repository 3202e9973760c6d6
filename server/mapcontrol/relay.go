package mapcontrol

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"sync"
	"time"

	"persimmonwind.dev/policy/hotexperts"
	"persimmonwind.dev/server/rpc"
)

// relayName is the name under which agents register their RPC receiver for relayed
// calls.
const relayName = "Relay"

const (
	methodRelayRead = relayName + ".Read"
	methodRelayGive = relayName + ".Give"
)

const (
	// relayedCallShare is the share of the timeout of the coordinator's call to a relay
	// that the relay's own calls may take, so that its reply is still in time if one of
	// the agents doesn't answer.
	relayedCallShare = 0.67
	// maxRelayedCalls is the number of agents that one call may name.
	maxRelayedCalls = 64
)

// RelayReadArgs are the arguments of Relay.Read.
type RelayReadArgs struct {
	ReadArgs
	Agents []string // host:port of the agents whose ranks are read.
}

// RelayReadReply is the reply of Relay.Read.
type RelayReadReply struct {
	Reads []RelayedRead // In the order of RelayReadArgs.Agents.
	Gains []byte        // Sum of the ranks' packed count increases; nil if there are none.
}

// RelayedRead is one agent's reply to a relayed read, without its count increases.
type RelayedRead struct {
	Error string // Why there is no reply; empty if there is one.
	Reply ReadReply
}

// RelayGiveArgs are the arguments of Relay.Give: one order for several ranks.
type RelayGiveArgs struct {
	GiveArgs
	Agents []string // host:port of the agents that pass the order to their ranks.
}

// RelayGiveReply is the reply of Relay.Give.
type RelayGiveReply struct {
	Gives []RelayedGive // In the order of RelayGiveArgs.Agents.
}

// RelayedGive is one agent's reply to a relayed order.
type RelayedGive struct {
	Error string // Why there is no reply; empty if there is one.
	Reply GiveReply
}

// Relay is the RPC receiver with which an agent makes a coordinator's calls to the
// agents of other ranks, so that the coordinator of a large group makes few calls
// itself. It decides nothing: each of those agents checks the caller's fencing number,
// and a call that a relay makes late is to its rank like any other late order.
type Relay struct{ peers *rpc.Pool }

// Read reads the ranks of several agents and adds up the increases of their counts.
func (r *Relay) Read(args RelayReadArgs, reply *RelayReadReply) error {
	reply.Reads = make([]RelayedRead, len(args.Agents))
	err := r.callAll(args.Agents, callTimeout, func(ctx context.Context, i int) {
		read := &reply.Reads[i]
		if err := callAgent(ctx, r.peers, args.Agents[i], methodRead, args.ReadArgs, &read.Reply); err != nil {
			*read = RelayedRead{Error: err.Error()}
		} else if read.Reply.State.Group != args.Group {
			r.peers.Drop(args.Agents[i]) // The coordinator searches for its ranks and won't call this agent again soon.
		}
	})
	if err != nil {
		return err
	}
	var gains [][]byte
	for i := range reply.Reads {
		read := &reply.Reads[i].Reply
		if read.Gains != nil {
			gains = append(gains, read.Gains)
			read.Gains = nil
		}
	}
	if len(gains) == 0 {
		return nil
	}
	reply.Gains, err = hotexperts.SumPacked(gains)
	return err
}

// Give passes one order to the ranks of several agents.
func (r *Relay) Give(args RelayGiveArgs, reply *RelayGiveReply) error {
	reply.Gives = make([]RelayedGive, len(args.Agents))
	return r.callAll(args.Agents, orderTimeout(args.Order.Kind), func(ctx context.Context, i int) {
		give := &reply.Gives[i]
		if err := callAgent(ctx, r.peers, args.Agents[i], methodGive, args.GiveArgs, &give.Reply); err != nil {
			*give = RelayedGive{Error: err.Error()}
		}
	})
}

// callAll runs call for the index of each agent at the same time and waits for all.
// timeout is that of the coordinator's call.
func (r *Relay) callAll(agents []string, timeout time.Duration, call func(ctx context.Context, i int)) error {
	if len(agents) > maxRelayedCalls {
		return fmt.Errorf("relayed call names %d agents, limit is %d", len(agents), maxRelayedCalls)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(relayedCallShare*float64(timeout)))
	defer cancel()
	var running sync.WaitGroup
	for i := range agents {
		running.Go(func() { call(ctx, i) })
	}
	running.Wait()
	return nil
}

// callAgent calls an agent. It closes the connection if the call got no reply and
// nothing else has arrived on it meanwhile: the connection may be dead. A connection to
// an agent that is only slow is kept, as a new one would cost that agent more time.
func callAgent(ctx context.Context, peers *rpc.Pool, agent, method string, args, reply any) error {
	calledAt := time.Now()
	err := callWithOwnReply(ctx, peers, agent, method, args, reply)
	if errors.Is(err, rpc.ErrUnreachable) {
		peers.DropSilent(agent, calledAt)
	}
	return err
}

// callWithOwnReply calls an agent and sets reply if the call succeeds. A reply that arrives
// after the call has timed out is written to a value of its own: the caller goes on to use
// reply, for instance for the report that it reads from the engine itself.
func callWithOwnReply(ctx context.Context, peers *rpc.Pool, agent, method string, args, reply any) error {
	own := reflect.New(reflect.TypeOf(reply).Elem())
	if err := peers.Call(ctx, agent, method, args, own.Interface()); err != nil {
		return err
	}
	reflect.ValueOf(reply).Elem().Set(own.Elem())
	return nil
}
