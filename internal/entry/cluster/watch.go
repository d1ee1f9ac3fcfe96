package cluster

import (
	"context"
	"errors"
	"time"

	"bramleygap/internal/core/adoption"
	"bramleygap/internal/core/delta"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/wire"
)

const (
	heartbeatInterval = time.Second
	// watchIdleTimeout is the time without a message after which a Watch stream is
	// reopened. It exceeds membership.SuspectAfter, so that a slow agent is suspected
	// before its stream is closed.
	watchIdleTimeout = 5 * time.Second
	reconnectDelay   = 200 * time.Millisecond
)

var errWatchIdle = errors.New("no message from the agent on the watch stream within the idle time-out")

// watcher keeps a Watch stream open to one agent.
type watcher struct {
	address string
	wake    chan struct{}
	cancel  context.CancelFunc
}

func (m *Manager) startWatcher(ctx context.Context, address string) *watcher {
	ctx, cancel := context.WithCancel(ctx)
	w := &watcher{address: address, wake: make(chan struct{}, 1), cancel: cancel}
	m.tasks.Go(func() { m.watchLoop(ctx, w) })
	return w
}

func (w *watcher) stop() { w.cancel() }

func (m *Manager) watchLoop(ctx context.Context, w *watcher) {
	for ctx.Err() == nil {
		err := m.watchOnce(ctx, w)
		m.options.Logger.Debug().Err(err).Str("agent", w.address).Msg("watch stream ended")
		if !sleep(ctx, jittered(reconnectDelay)) {
			return
		}
		m.metrics.watchReconnects.Inc()
	}
	// The connection stays in the pool, because attempts in progress may still use it.
}

// watchOnce opens one stream and runs it until it fails or ctx ends.
func (m *Manager) watchOnce(ctx context.Context, w *watcher) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := m.pool.Conn(w.address)
	if err != nil {
		return err
	}
	stream, err := wire.NewAgentClient(conn).Watch(ctx)
	if err != nil {
		return err
	}
	received := make(chan *wire.AgentState)
	failed := make(chan error, 1)
	m.tasks.Go(func() {
		for {
			message, err := stream.Recv()
			if err != nil {
				failed <- err
				return
			}
			select {
			case received <- message:
			case <-ctx.Done():
				return
			}
		}
	})
	return m.runWatch(ctx, w, stream, received, failed)
}

func (m *Manager) runWatch(ctx context.Context, w *watcher, stream wire.Agent_WatchClient, received <-chan *wire.AgentState, failed <-chan error) error {
	streamNumber := m.streams.Add(1)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	idle := time.NewTimer(watchIdleTimeout)
	defer idle.Stop()
	var last *wire.AgentState
	var sentRevision uint64
	// agentsAnnounced and agentsSent are the versions of the list of agents in the last
	// message and in the last message with the list. An agent that does not report the
	// announced version lacks the list; one that does may have it from another entry.
	var agentsAnnounced, agentsSent uint64
	lacksAgents := false
	var codec delta.Codec[*wire.EntryState, *wire.AgentState]
	send := func() error {
		var message *wire.EntryState
		if err := m.do(ctx, func(s *state) { message = s.entryState(last, lacksAgents) }); err != nil {
			return err
		}
		agentsAnnounced, lacksAgents = message.AgentsVersion, false
		if len(message.Agents) > 0 {
			agentsSent = message.AgentsVersion
		}
		if message.ConfigText != "" {
			sentRevision = message.ConfigRevision
		}
		return stream.Send(codec.Encode(message))
	}
	if err := send(); err != nil {
		return err
	}
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err = <-failed:
		case <-idle.C:
			err = errWatchIdle
		case <-w.wake:
			err = send()
		case <-heartbeat.C:
			err = send()
		case message := <-received:
			idle.Reset(watchIdleTimeout)
			if message, err = codec.Decode(message); err != nil {
				return err
			}
			report := membership.Report{Stream: streamNumber, State: message}
			err = m.do(ctx, func(s *state) {
				s.observeAgent(report)
				lacksAgents = agentsAnnounced == s.agentsVersion && message.GetAgentsVersion() != s.agentsVersion
			})
			last = message
			if lacksAgents && agentsSent != agentsAnnounced {
				signal(w.wake)
			}
			// Send a newer configuration at once, but its text only once between heartbeats.
			if ownRevision := adoption.RevisionOf(m.Config()); last.GetConfigRevision() < ownRevision && sentRevision < ownRevision {
				signal(w.wake)
			}
		}
		if err != nil {
			return err
		}
	}
}
